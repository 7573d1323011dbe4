package term

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a second run of a task on a worker that this leader does not reach, while a later leader, of which this one does not know
// because the log does not answer, extends its run; and against a task that never starts again.
func TestExpiryWaitsForAnAppend(t *testing.T) {
	type scenario struct {
		name    string
		steps   func(s *Session, now time.Time)
		expired bool
	}
	const worker = oleanderline.WorkerID("w0")
	report := oleanderline.WorkerReport{Life: 1}
	for _, c := range []scenario{
		{"no append since", func(s *Session, now time.Time) {
			s.handleLeaseExpired(worker, plan.Expiry{End: now}, now)
			s.checkExpiries(now)
		}, false},
		{"append sent before the expiry", func(s *Session, now time.Time) {
			s.lastAppendSent.Store(now.UnixNano() - 1)
			s.handleLeaseExpired(worker, plan.Expiry{End: now}, now)
		}, false},
		{"append sent after the expiry, then the expiry", func(s *Session, now time.Time) {
			s.lastAppendSent.Store(now.UnixNano() + 1)
			s.handleLeaseExpired(worker, plan.Expiry{End: now}, now)
		}, true},
		{"expiry, then the append", func(s *Session, now time.Time) {
			s.handleLeaseExpired(worker, plan.Expiry{End: now}, now)
			s.lastAppendSent.Store(now.UnixNano() + 1)
			s.checkExpiries(now)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := &Session{planner: plan.New(plan.Settings{}, 1, now), expiries: map[oleanderline.WorkerID]plan.Expiry{}}
			s.planner.SetWorkers([]oleanderline.WorkerEntry{{ID: worker, Pool: "pool", Capacity: oleanderline.Size{CPU: 4000, Memory: 8000}}}, now)
			s.planner.SetServed(worker, true)
			s.planner.Report(worker, report, now, now)
			_, ids, err := s.planner.Records()
			require.NoError(t, err)
			require.Equal(t, []oleanderline.WorkerID{worker}, ids)
			s.planner.WorkerRecorded(worker)
			s.planner.AddJob(oleanderline.Job{
				ID: "a", Queue: "q", Policy: oleanderline.Queue{ID: "q", Pool: "pool"},
				Steps: []oleanderline.Step{{Count: 1, Size: oleanderline.Size{CPU: 1000, Memory: 1000}}},
			}, record.Progress{}, now, 0)
			s.planner.Place(now, now, 1)
			orders := s.planner.Orders()
			require.Len(t, orders, 1)
			s.planner.HandleResult(plan.Result{Order: orders[0], Attempts: 1}, now)
			s.planner.CallFailed(worker, oleanderline.ErrUncertain)
			s.planner.Notes()
			c.steps(s, now.Add(time.Second))
			lost := slices.ContainsFunc(s.planner.Notes(), func(n plan.Note) bool { return n.Kind == plan.NoteLost })
			require.Equal(t, c.expired, lost)
			require.Equal(t, c.expired, len(s.expiries) == 0)
		})
	}
}
