package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	timeout = 1500 * time.Millisecond
	delay   = 200 * time.Millisecond
)

var start = time.Unix(1000, 0)

// Guards against claims over a leader that only could not be read, and against waiting after a resignation.
func TestWhenToClaim(t *testing.T) {
	type scenario struct {
		name  string
		play  func(w *Watch)
		after time.Duration // since start
		claim bool
	}
	for _, s := range []scenario{
		{"nothing was read", func(*Watch) {}, time.Hour, false},
		{"no leader ever", func(w *Watch) { w.Read(true, start) }, timeout + delay, true},
		{"not yet", func(w *Watch) { w.Read(true, start) }, timeout, false},
		{"heard lately", func(w *Watch) {
			w.Read(true, start)
			w.Heard(false, start.Add(time.Second))
		}, timeout + delay, false},
		{"reads fail", func(w *Watch) {
			w.Read(true, start)
			w.Read(false, start.Add(time.Second))
		}, time.Hour, false},
		{"reads succeed again", func(w *Watch) {
			w.Read(true, start)
			w.Read(false, start.Add(time.Second))
			w.Read(true, start.Add(5*time.Second))
		}, 5*time.Second + timeout, false},
		{"resigned", func(w *Watch) {
			w.Read(true, start)
			w.Heard(true, start.Add(time.Second))
		}, time.Second + delay, true},
		{"gone for certain", func(w *Watch) {
			w.Read(true, start)
			w.Gone(start)
		}, delay, true},
		{"another one after one that is gone", func(w *Watch) {
			w.Read(true, start)
			w.Gone(start)
			w.Heard(false, start.Add(delay/2))
		}, timeout, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			w := NewWatch(timeout)
			s.play(w)
			require.Equal(t, s.claim, w.Claim(start.Add(s.after), delay))
		})
	}
}
