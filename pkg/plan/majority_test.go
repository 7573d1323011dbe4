package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// list adds workers to the directory.
func (c *testCell) list(ids ...oleanderline.WorkerID) {
	for _, id := range ids {
		c.workers[id] = &fakeWorker{running: map[oleanderline.RunKey]oleanderline.RunStatus{}}
		c.entries = append(c.entries, oleanderline.WorkerEntry{
			ID: id, Address: string(id), Pool: "pool", Capacity: oleanderline.Size{CPU: 4000, Memory: 8000},
		})
	}
	c.planner.SetWorkers(c.entries, c.now)
}

func workerIDs(prefix string, count int) []oleanderline.WorkerID {
	ids := make([]oleanderline.WorkerID, count)
	for i := range ids {
		ids[i] = oleanderline.WorkerID(fmt.Sprintf("%s%d", prefix, i))
	}
	return ids
}

// Guards against two leaders that both believe to have a majority, one of which takes the workers of the other for empty: whatever
// changes the earlier leader has not stored, and whatever a leader between the two has, any two majorities need a worker in common.
func TestMajoritiesOfTwoLeadersIntersect(t *testing.T) {
	type scenario struct {
		name     string
		workers  int
		steps    func(c *testCell)       // what the earlier leader does, of which nothing is stored
		between  func(c *testCell)       // what a leader between the two does; nil if there is none
		accepted []oleanderline.WorkerID // workers that go on to accept the calls of the earlier leader
		reported []oleanderline.WorkerID // workers that report to the later leader
	}
	for _, s := range []scenario{
		{
			name: "workers listed, no record handed out", workers: 3,
			steps:    func(c *testCell) { c.list(workerIDs("n", 4)...) },
			accepted: append(workerIDs("n", 4), "w2"), reported: workerIDs("w", 2),
		},
		{
			name: "workers listed, records handed out", workers: 3,
			steps: func(c *testCell) {
				c.list(workerIDs("n", 4)...)
				c.recordInVain()
			},
			accepted: append(workerIDs("n", 4), "w2"), reported: workerIDs("w", 2),
		},
		{
			name: "workers dropped, not stored", workers: 5,
			steps: func(c *testCell) {
				c.dropWorkers("w3", "w4")
				c.recordInVain()
			},
			accepted: workerIDs("w", 2), reported: []oleanderline.WorkerID{"w2", "w3", "w4"},
		},
		{
			name: "workers recorded by a leader between", workers: 3,
			steps:    func(*testCell) {},
			between:  func(c *testCell) { c.list(workerIDs("n", 4)...) },
			accepted: workerIDs("w", 3), reported: workerIDs("n", 4),
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, s.workers)
			s.steps(c)
			earlier, stored := c.planner, c.stored
			claims := 2
			c.newTerm(claims)
			if s.between != nil {
				s.between(c)
				c.flush()
				claims++
				c.newTerm(claims)
			}
			require.NotEmpty(t, stored)
			c.advance(3 * time.Second)
			for _, id := range s.accepted {
				earlier.Report(id, oleanderline.WorkerReport{Life: testIncarnation}, c.now, c.now)
			}
			for _, id := range s.reported {
				c.report(id)
			}
			held := earlier.MajorityUntil().After(c.now)
			require.False(t, held && c.planner.majorityReported(), "both leaders have a majority")
		})
	}
}

// Guards against a take-over that waits for the horizon although most workers have reported, since workers that an earlier leader
// recorded soon after a change of leader were counted apart for ever.
func TestWorkersAreCountedTogetherAfterTheHorizon(t *testing.T) {
	c := newCell(t, 1)
	c.newTerm(2)
	c.list(workerIDs("n", 4)...)
	c.flush()
	c.reportAll()
	c.flush()
	c.advance(testSettings().Horizon)
	c.reportAll()
	c.flush()
	c.newTerm(3)
	for _, id := range workerIDs("n", 4) {
		c.report(id)
	}
	require.True(t, c.planner.majorityReported())
}

// recordInVain takes the records of workers, which are not stored.
func (c *testCell) recordInVain() {
	_, _, err := c.planner.Records()
	require.NoError(c.t, err)
}

// dropWorkers makes workers unreachable and removes them from the directory.
func (c *testCell) dropWorkers(ids ...oleanderline.WorkerID) {
	for _, id := range ids {
		c.planner.CallFailed(id, oleanderline.ErrUncertain)
	}
	var left []oleanderline.WorkerEntry
	for _, entry := range c.entries {
		if w := c.planner.workers[entry.ID]; !w.unreachable {
			left = append(left, entry)
		}
	}
	c.planner.SetWorkers(left, c.now)
}
