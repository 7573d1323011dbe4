package term

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leader whose appends always wait for the log ahead of those of submissions while it is slow, and against one that pauses
// for so long that its heartbeats are late.
func TestFlushPauseFollowsTheLog(t *testing.T) {
	type scenario struct {
		name   string
		answer func() time.Duration
		want   time.Duration
	}
	answer := func(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
	for _, s := range []scenario{
		{"not measured", nil, flushInterval},
		{"no append lately", answer(0), flushInterval},
		{"fast log", answer(flushInterval / 5), flushInterval},
		{"slow log", answer(150 * time.Millisecond), 150 * time.Millisecond},
		{"very slow log", answer(2 * time.Second), heartbeatInterval},
	} {
		t.Run(s.name, func(t *testing.T) {
			w := &writer{session: &Session{ports: Ports{AppendAnswer: s.answer}}}
			require.Equal(t, s.want, w.flushPause())
		})
	}
}
