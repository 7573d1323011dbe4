package link

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// clockLag is how far a worker's clock may be behind the expected reading because its answer was read late. A clock that is further
// behind belongs to a later incarnation.
const clockLag = time.Second

// restartBound bounds the leases on a later incarnation of the worker, which begins its clock anew: a deadline on the clock of an
// earlier incarnation is far ahead of it and is cut only to the longest lease that the worker accepts. The bound applies only after a
// sign of a restart and while a start has no answer. Without such a start, a restarted worker runs nothing.
type restartBound struct {
	maxLease     time.Duration
	sentAt       time.Time // when a call with a deadline was last sent, or ended without an answer
	unansweredAt time.Time // when a start last ended without an answer; zero if a later report came from the same incarnation
	// unansweredEnd is the latest expiry of the lease of a run whose start had no answer and may have been carried out by a later
	// incarnation that no answer has shown. Other runs have ended then, so it does not bound their leases. restartedEnd is the
	// latest expiry of the leases granted to a later incarnation that an answer has shown.
	unansweredEnd, restartedEnd time.Time
}

func (b *restartBound) leaseEnd() time.Time { return common.Later(b.unansweredEnd, b.restartedEnd) }

// sent records a call with a deadline.
func (b *restartBound) sent(now time.Time) {
	b.sentAt = common.Later(b.sentAt, now)
	if !b.unansweredAt.IsZero() {
		b.unansweredEnd = b.expiry()
	}
}

// unanswered records that a call with a deadline has ended without an answer. start is whether it was a start.
func (b *restartBound) unanswered(now time.Time, start bool) {
	if start {
		b.unansweredAt = now
	}
	b.sent(now)
}

// reported records a report that was requested at requestedAt. restarted is whether it came from another incarnation than the last.
func (b *restartBound) reported(requestedAt time.Time, restarted bool) {
	if restarted {
		b.extend()
	}
	if requestedAt.After(b.unansweredAt) {
		b.unansweredAt, b.unansweredEnd = time.Time{}, time.Time{}
	}
}

// extend records that the calls so far may have reached a later incarnation.
func (b *restartBound) extend() {
	if !b.sentAt.IsZero() {
		b.restartedEnd = common.Later(b.restartedEnd, b.expiry())
	}
}

// expiry returns the latest expiry of a lease of maxLease that was granted by the last call with a deadline.
func (b *restartBound) expiry() time.Time { return b.sentAt.Add(ExpiryBound(b.maxLease)) }

// isBehind reports whether a worker's clock that has advanced by advanced in elapsed belongs to a later incarnation.
func isBehind(advanced, elapsed time.Duration) bool {
	return advanced < time.Duration(minClockRate*float64(elapsed))-clockLag
}
