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

// Guards against a claim while the leader is alive but its records could not be read, and against a claim that waits for the
// timeout although the leader has resigned or is dead.
func TestWhenToClaim(t *testing.T) {
	type scenario struct {
		name  string
		steps func(d *FailureDetector)
		after time.Duration // when ShouldClaim is called, since start
		claim bool
	}
	for _, s := range []scenario{
		{"nothing was read", func(*FailureDetector) {}, time.Hour, false},
		{"no leader so far", func(d *FailureDetector) { d.ObserveRead(true, start) }, timeout + delay, true},
		{"before the delay has passed", func(d *FailureDetector) { d.ObserveRead(true, start) }, timeout, false},
		{"leader record read recently", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveLeader(false, start.Add(time.Second))
		}, timeout + delay, false},
		{"reads fail", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveRead(false, start.Add(time.Second))
		}, time.Hour, false},
		{"reads succeed again", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveRead(false, start.Add(time.Second))
			d.ObserveRead(true, start.Add(5*time.Second))
		}, 5*time.Second + timeout, false},
		{"resigned", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveLeader(true, start.Add(time.Second))
		}, time.Second + delay, true},
		{"leader certainly dead", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveDeadLeader(start)
		}, delay, true},
		{"new leader after a dead one", func(d *FailureDetector) {
			d.ObserveRead(true, start)
			d.ObserveDeadLeader(start)
			d.ObserveLeader(false, start.Add(delay/2))
		}, timeout, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			d := NewFailureDetector(timeout)
			s.steps(d)
			require.Equal(t, s.claim, d.ShouldClaim(start.Add(s.after), delay))
		})
	}
}
