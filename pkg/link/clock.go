package link

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// deadline returns a deadline one lease ahead on the worker's clock, and extends leaseEnd accordingly. The caller holds the
// mutex.
func (l *Link) deadline(now time.Time) oleanderline.WorkerTime {
	span := now.Sub(l.clockReadAt) + l.settings.Lease
	l.leaseEnd = common.Later(l.leaseEnd, l.clockReadAt.Add(ExpiryBound(span)))
	return l.workerClock.Add(span)
}

// ExpiryBound returns the longest time until a worker ends a lease that lasts span on its own clock.
func ExpiryBound(span time.Duration) time.Duration {
	return time.Duration(float64(span)/minClockRate) + clockSlack
}

// LeaseEnd returns the latest expiry of the leases granted over this link or earlier links; zero if there were none.
func (l *Link) LeaseEnd() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return common.Later(l.leaseEnd, l.restart.leaseEnd())
}

// expired returns which leases on the worker have expired. It reports false if there were none, or none is known to have expired.
func (l *Link) expired(now time.Time) (expiry plan.Expiry, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := common.Later(l.leaseEnd, l.restart.restartedEnd)
	all := common.Later(answered, l.restart.unansweredEnd)
	switch {
	case all.IsZero() || !now.After(answered):
		return plan.Expiry{}, false
	case now.After(all):
		return plan.Expiry{End: all}, true
	}
	return plan.Expiry{End: answered, AnsweredOnly: true}, true
}

// applyReport updates the worker's clock, incarnation and highest reported end from the answer to a renew call that was sent at sent
// and acknowledged ends up to ackSent. An acknowledgement is not repeated once it is answered: a new incarnation of the worker numbers its ends
// anew, so that the acknowledgement would cover ends that were never read.
func (l *Link) applyReport(report oleanderline.WorkerReport, ackSent int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAck = max(l.answeredAck, ackSent)
	restarted := report.Life != l.incarnation && l.incarnation != 0
	l.updateClock(report.Clock)
	l.restart.reported(sent, restarted)
	if report.Life != l.incarnation {
		l.incarnation, l.acked, l.lastEnd, l.answeredAck = report.Life, 0, 0, 0
		if inherited := l.settings.Acked; inherited.Life == report.Life {
			l.acked = inherited.Number
		}
	}
	for _, end := range report.Ended {
		l.lastEnd = max(l.lastEnd, end.Number)
	}
}

func (l *Link) updateClock(clock oleanderline.WorkerTime) {
	now := l.clock.Now()
	if !l.clockKnown {
		// The worker has refused calls of earlier terms since it answered, so the leases that they granted expire at most one
		// lease from now.
		l.leaseEnd = common.Later(l.leaseEnd, now.Add(ExpiryBound(l.settings.Lease)))
		close(l.ready)
	} else if isBehind(time.Duration(clock-l.workerClock)*time.Millisecond, now.Sub(l.clockReadAt)) {
		l.restart.extend()
	}
	l.clockKnown, l.clockReadAt, l.workerClock = true, now, clock
}
