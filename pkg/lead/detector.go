// Package lead detects the loss of the leader and decides when a process should claim leadership. The log decides whether the
// claim succeeds.
package lead

import "time"

// FailureDetector determines from the leader records that a process reads whether the leader is lost.
type FailureDetector struct {
	timeout          time.Duration
	lastLeaderRecord time.Time // when the newest leader record was read
	readableSince    time.Time // since when all reads have succeeded; zero while reads fail
	resigned         bool
	dead             bool // the leader is certain to be dead
}

// NewFailureDetector returns a detector that regards a leader as lost if none of its records is read for timeout.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout}
}

// ObserveRead records whether a read of the stream succeeded.
func (d *FailureDetector) ObserveRead(ok bool, now time.Time) {
	switch {
	case !ok:
		d.readableSince = time.Time{}
	case d.readableSince.IsZero():
		d.readableSince = now
	}
}

// ObserveLeader records that a leader record was read.
func (d *FailureDetector) ObserveLeader(resigned bool, now time.Time) {
	d.lastLeaderRecord = now
	d.resigned, d.dead = resigned, false
}

// ObserveDeadLeader records that a leader record was read whose leader is certain to be dead.
func (d *FailureDetector) ObserveDeadLeader(now time.Time) {
	d.lastLeaderRecord, d.dead = now, true
}

// ShouldClaim reports whether this process should claim leadership. delay is added to the time at which the leader counts as
// lost; it differs between processes so that they do not all claim at once. Time during which this process could not read
// does not count towards the timeout: the leader may have been unable to write for the same reason.
func (d *FailureDetector) ShouldClaim(now time.Time, delay time.Duration) bool {
	due, known := d.ClaimTime(delay)
	return known && !now.Before(due)
}

// Cause is why a leader counts as lost.
type Cause string

// Causes.
const (
	CauseResigned Cause = "the leader has resigned"
	CauseDead     Cause = "the leader was an earlier process of this VM"
	CauseSilent   Cause = "no record of the leader was read within the timeout"
	CauseNone     Cause = "no record of a leader has ever been read"
)

// Evidence is what a claim of leadership is based on.
type Evidence struct {
	Cause    Cause
	Age      time.Duration // since the newest leader record was read; 0 if none was
	Readable time.Duration // for how long all reads have succeeded
}

// Evidence returns why the leader counts as lost, provided that ShouldClaim holds.
func (d *FailureDetector) Evidence(now time.Time) Evidence {
	e := Evidence{Cause: CauseSilent, Readable: now.Sub(d.readableSince)}
	switch {
	case d.lastLeaderRecord.IsZero():
		e.Cause = CauseNone
		return e
	case d.dead:
		e.Cause = CauseDead
	case d.resignationHolds():
		e.Cause = CauseResigned
	}
	e.Age = now.Sub(d.lastLeaderRecord)
	return e
}

// resignationHolds reports whether the leader has resigned and all reads since then have succeeded.
func (d *FailureDetector) resignationHolds() bool {
	return d.resigned && d.readableSince.Before(d.lastLeaderRecord)
}

// ClaimTime returns when this process should claim leadership if it reads no leader record until then. The time is unknown
// while reads fail.
func (d *FailureDetector) ClaimTime(delay time.Duration) (due time.Time, known bool) {
	if d.readableSince.IsZero() {
		return time.Time{}, false
	}
	since := d.lastLeaderRecord
	if d.readableSince.After(since) {
		since = d.readableSince
	}
	if d.dead || d.resignationHolds() {
		return since.Add(delay), true
	}
	return since.Add(d.timeout + delay), true
}
