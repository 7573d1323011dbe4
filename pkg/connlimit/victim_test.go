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
		{"a closed one first", []candidate{{phaseReceiving, old}, {phaseClosing, young}, {phaseWaiting, old}}, 1},
		{"an unfinished body rather than an idle connection", []candidate{{phaseWaiting, 10 * old}, {phaseReceiving, old}}, 1},
		{"an unfinished header rather than an idle connection", []candidate{{phaseHeader, old}, {phaseWaiting, 10 * old}}, 0},
		{"an answer that is not taken rather than an idle connection", []candidate{{phaseWaiting, 10 * old}, {phaseSending, old}}, 1},
		{"an idle connection rather than a request that has just begun", []candidate{{phaseReceiving, young}, {phaseWaiting, old}}, 1},
		{"the longest unfinished", []candidate{{phaseReceiving, old}, {phaseHeader, 2 * old}, {phaseSending, old}}, 1},
		{"the longest idle", []candidate{{phaseWaiting, young}, {phaseWaiting, old}}, 1},
		{"a request that has just begun, if there is nothing else", []candidate{{phaseWorking, old}, {phaseHeader, young}}, 1},
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
	require.Equal(t, rankNever, candidate{phaseWorking, old}.rank())
}
