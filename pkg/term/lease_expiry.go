package term

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// handleLeaseExpired passes the expiry of a worker's leases to the planner. It waits until an append is stored that was sent after it:
// a later leader, of which this one does not know, may have extended the runs before they expired.
func (s *Session) handleLeaseExpired(id oleanderline.WorkerID, expiry plan.Expiry, now time.Time) {
	if !s.ledAt(expiry.End) {
		s.expiries[id] = expiry
		return
	}
	delete(s.expiries, id)
	s.planner.LeaseExpired(id, expiry, now)
}

// checkExpiries passes on the expiries that have waited for an append.
func (s *Session) checkExpiries(now time.Time) {
	for id, expiry := range s.expiries {
		s.handleLeaseExpired(id, expiry, now)
	}
}

// ledAt reports whether the log has confirmed that no later leader had begun its term at a given time.
func (s *Session) ledAt(t time.Time) bool { return s.lastAppendSent.Load() >= t.UnixNano() }
