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

// Guards against a claim of leadership whose log line gives a wrong reason, or an age that hides how long the leader was silent.
func TestEvidenceOfALostLeader(t *testing.T) {
	const silent = 3 * time.Second
	for _, s := range []struct {
		name  string
		steps func(d *FailureDetector)
		want  Evidence
	}{
		{"no leader so far", func(*FailureDetector) {}, Evidence{Cause: CauseNone, Readable: silent}},
		{"silent", func(d *FailureDetector) { d.ObserveLeader(false, start.Add(time.Second)) }, Evidence{Cause: CauseSilent, Age: 2 * time.Second, Readable: silent}},
		{"resigned", func(d *FailureDetector) { d.ObserveLeader(true, start.Add(time.Second)) }, Evidence{Cause: CauseResigned, Age: 2 * time.Second, Readable: silent}},
		{"resigned, then reads failed", func(d *FailureDetector) {
			d.ObserveLeader(true, start)
			d.ObserveRead(false, start)
			d.ObserveRead(true, start.Add(time.Second))
		}, Evidence{Cause: CauseSilent, Age: silent, Readable: 2 * time.Second}},
		{"certainly dead", func(d *FailureDetector) { d.ObserveDeadLeader(start.Add(2 * time.Second)) }, Evidence{Cause: CauseDead, Age: time.Second, Readable: silent}},
	} {
		t.Run(s.name, func(t *testing.T) {
			d := NewFailureDetector(timeout)
			d.ObserveRead(true, start)
			s.steps(d)
			require.Equal(t, s.want, d.Evidence(start.Add(silent)))
		})
	}
}
