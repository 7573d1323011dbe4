package term

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// handleLeaseExpired passes the expiry of a worker's leases to the planner. It waits until an append is stored that was sent after it:
// a later leader, of which this one does not know, may have extended the runs before they expired.
func (s *Session) handleLeaseExpired(id oleanderline.WorkerID, leaseEnd, now time.Time) {
	if !s.ledAt(leaseEnd) {
		s.expiries[id] = leaseEnd
		return
	}
	delete(s.expiries, id)
	s.planner.LeaseExpired(id, leaseEnd, now)
}

// checkExpiries passes on the expiries that have waited for an append.
func (s *Session) checkExpiries(now time.Time) {
	for id, leaseEnd := range s.expiries {
		s.handleLeaseExpired(id, leaseEnd, now)
	}
}

// ledAt reports whether the log has confirmed that no later leader had begun its term at a given time.
func (s *Session) ledAt(t time.Time) bool { return s.lastAppendSent.Load() >= t.UnixNano() }
