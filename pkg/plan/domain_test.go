package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
)

// newDomainCell returns a cell of four workers, w0 and w1 in the failure domain "a", w2 in "b" and w3 in "c".
func newDomainCell(t *testing.T) *testCell {
	t.Helper()
	c := newCell(t, 4)
	for i := range c.entries {
		c.entries[i].Domain = map[oleanderline.WorkerID]oleanderline.DomainID{"w0": "a", "w1": "a", "w2": "b", "w3": "c"}[c.entries[i].ID]
		c.entries[i].Rack = oleanderline.RackID("r-" + c.entries[i].Domain)
		c.entries[i].Labels = []string{"label-" + string(c.entries[i].Domain)}
	}
	c.planner.SetWorkers(c.entries, c.now)
	return c
}

// evacuate makes exactly these domains be out of service, as read by one process.
func (c *testCell) evacuate(r *evacuation.Requests, domains ...oleanderline.DomainID) {
	next := r.View().Snapshot().Next + 1
	list := evacuation.Snapshot{Out: map[oleanderline.DomainID]oleanderline.Offset{}, Next: next}
	for _, domain := range domains {
		list.Out[domain] = next - 1
	}
	r.Replace(list, c.now)
	c.planner.SetEvacuations(r.View(), c.now)
}

// startsOn returns how many starts each worker has received.
func (c *testCell) startsOn() map[oleanderline.WorkerID]int {
	starts := map[oleanderline.WorkerID]int{}
	for id, w := range c.workers {
		for _, order := range w.orders {
			if order.Kind == OrderStart {
				starts[id]++
			}
		}
	}
	return starts
}

// progress makes all runs advance by a percent.
func (c *testCell) progress() {
	for _, w := range c.workers {
		for key, status := range w.running {
			status.Percent++
			w.running[key] = status
		}
	}
}

// Guards against a start in a failure domain that is out of service: with one or two of them, by a new leader, by a worker that joins
// later, after the request was removed and made again. An unknown domain has no effect.
func TestNothingStartsOutOfService(t *testing.T) {
	type scenario struct {
		name    string
		prepare func(c *testCell, r *evacuation.Requests)
		out     []oleanderline.WorkerID
	}
	for _, s := range []scenario{
		{"none", func(c *testCell, r *evacuation.Requests) { c.evacuate(r) }, nil},
		{"one", func(c *testCell, r *evacuation.Requests) { c.evacuate(r, "a") }, []oleanderline.WorkerID{"w0", "w1"}},
		{"two", func(c *testCell, r *evacuation.Requests) { c.evacuate(r, "a", "c") }, []oleanderline.WorkerID{"w0", "w1", "w3"}},
		{"unknown", func(c *testCell, r *evacuation.Requests) { c.evacuate(r, "z") }, nil},
		{"new leader", func(c *testCell, r *evacuation.Requests) {
			c.newTerm(2)
			c.evacuate(r, "b")
			c.reportAll()
			c.flush()
			c.advance(time.Minute)
			c.reportAll()
		}, []oleanderline.WorkerID{"w2"}},
		{"removed and made again", func(c *testCell, r *evacuation.Requests) {
			c.evacuate(r, "b")
			c.evacuate(r)
			c.evacuate(r, "b")
		}, []oleanderline.WorkerID{"w2"}},
		{"worker moves into the domain", func(c *testCell, r *evacuation.Requests) {
			c.evacuate(r, "b")
			c.entries[3].Domain = "b"
			c.planner.SetWorkers(c.entries, c.now)
		}, []oleanderline.WorkerID{"w2", "w3"}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newDomainCell(t)
			s.prepare(c, &evacuation.Requests{})
			c.add("j", oleanderline.Step{Count: 30, Size: testSize, Estimate: time.Second})
			c.add("l", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true})
			c.add("g", oleanderline.Step{Count: 3, Size: testSize, Gang: true, SameRack: true})
			for range 5 {
				c.place()
				c.reportAll()
			}
			starts := c.startsOn()
			for _, id := range []oleanderline.WorkerID{"w0", "w1", "w2", "w3"} {
				if slices.Contains(s.out, id) {
					require.Zero(t, starts[id], id)
				} else {
					require.NotZero(t, starts[id], id)
				}
			}
		})
	}
}

// Guards against runs that are ended because their failure domain goes out of service, which costs their users more than it gains, and
// against a run that is started there again after its end.
func TestRunsGoOnOutOfService(t *testing.T) {
	c := newDomainCell(t)
	var r evacuation.Requests
	c.add("l", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true, MaxPerWorker: 1})
	c.add("j", oleanderline.Step{Count: 4, Size: testSize, Estimate: time.Minute, Checkpoint: true, MaxPerWorker: 1})
	c.place()
	c.evacuate(&r, "a")
	for range 8 { // for less than stuckTimeout
		c.reportAll()
		c.place()
		c.advance(checkInterval)
	}
	for _, w := range c.workers {
		for _, order := range w.orders {
			require.Equal(t, OrderStart, order.Kind)
		}
	}
	c.planner.jobs["l"].spec.Steps[0].MaxPerWorker = 0
	for key := range c.workers["w0"].running {
		if key.Task.Job == "l" {
			c.workers["w0"].end(key, oleanderline.EndFailed)
		}
	}
	before := c.startsOn()
	c.reportAll()
	c.advance(time.Minute)
	c.reportAll()
	c.place()
	after := c.startsOn()
	require.Equal(t, before["w0"]+before["w1"], after["w0"]+after["w1"])
	require.Equal(t, before["w2"]+before["w3"]+1, after["w2"]+after["w3"])
}

// Guards against operators who are not told why tasks wait whose label or gang fits only into a failure domain out of service, and
// against tasks that do not start once it is back.
func TestTasksWaitForTheirDomain(t *testing.T) {
	c := newDomainCell(t)
	var r evacuation.Requests
	c.evacuate(&r, "a", "z")
	c.add("label", oleanderline.Step{Count: 2, Size: testSize, Label: "label-a"})
	c.add("gang", oleanderline.Step{Count: 10, Size: testSize, Gang: true})
	c.add("free", oleanderline.Step{Count: 2, Size: testSize, Label: "label-b"})
	noted := map[NoteKind][]oleanderline.JobID{}
	collect := func() {
		for _, note := range c.planner.Notes() {
			noted[note.Kind] = append(noted[note.Kind], note.Run.Task.Job)
		}
	}
	for range 5 {
		c.place()
		c.advance(domainCheckInterval)
		c.reportAll()
		collect()
	}
	require.Equal(t, 12, c.planner.WaitingForDomains())
	require.ElementsMatch(t, []oleanderline.JobID{"label", "gang"}, noted[NoteDomainAwaited])
	require.Len(t, noted[NoteDomainUnknown], 1)
	require.Equal(t, "domain", c.planner.jobs["label"].occurrences[0].groups[0].obstacle.String())
	c.evacuate(&r)
	for range 20 {
		c.place()
		c.advance(domainCheckInterval)
		c.progress()
		c.reportAll()
		collect()
	}
	require.Zero(t, c.planner.WaitingForDomains())
	require.ElementsMatch(t, []oleanderline.JobID{"label", "gang"}, noted[NoteDomainAwaitEnds])
	require.Len(t, c.runsOf(taskOf("label", 0, 1)), 1)
	require.Len(t, c.runsOf(taskOf("gang", 0, 9)), 1)
}
