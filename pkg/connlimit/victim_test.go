package connlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the close of a connection whose request is being answered, and against that of an ordinary client's while another client
// has an unfinished request or does not take its answers.
func TestWhichConnectionIsClosed(t *testing.T) {
	old, young := 3*time.Second, 10*time.Millisecond
	for _, s := range []struct {
		name       string
		candidates []candidate
		want       int
	}{
		{"a closed one first", []candidate{{phase: phaseReceiving, age: old}, {phase: phaseClosing, age: young}, {phase: phaseWaiting, age: old}}, 1},
		{"an unfinished body rather than an idle connection", []candidate{{phase: phaseWaiting, used: true, age: 10 * old}, {phase: phaseReceiving, age: old}}, 1},
		{"an unfinished header rather than an idle connection", []candidate{{phase: phaseHeader, age: old}, {phase: phaseWaiting, used: true, age: 10 * old}}, 0},
		{"an answer that is not taken rather than an idle connection", []candidate{{phase: phaseWaiting, used: true, age: 10 * old}, {phase: phaseSending, age: old}}, 1},
		{"an idle connection rather than a request that has just begun", []candidate{{phase: phaseReceiving, age: young}, {phase: phaseWaiting, age: old}}, 1},
		{"the longest unfinished", []candidate{{phase: phaseReceiving, age: old}, {phase: phaseHeader, age: 2 * old}, {phase: phaseSending, age: old}}, 1},
		{"one without any request rather than one that waits for the next", []candidate{{phase: phaseWaiting, used: true, age: 10 * old}, {phase: phaseWaiting, age: old}}, 1},
		{"the longest idle", []candidate{{phase: phaseWaiting, used: true, age: young}, {phase: phaseWaiting, used: true, age: old}}, 1},
		{"a request that has just begun, if there is nothing else", []candidate{{phase: phaseWorking, age: old}, {phase: phaseHeader, age: young}}, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			for i, c := range s.candidates {
				if i != s.want {
					require.True(t, s.candidates[s.want].before(c))
					require.False(t, c.before(s.candidates[s.want]))
				}
			}
		})
	}
	require.Equal(t, rankNever, candidate{phase: phaseWorking, age: old}.rank())
}
