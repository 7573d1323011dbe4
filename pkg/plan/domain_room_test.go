package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/pairs"
)

// Guards against room in a failure domain out of service that still counts in admission, headroom, consolidation or for tasks that move.
func TestRoomOutOfServiceIsGone(t *testing.T) {
	c := newDomainCell(t)
	var r evacuation.Requests
	c.add("fill", oleanderline.Step{Count: 8, Size: testSize, Label: "label-a"}, oleanderline.Step{Count: 1, Size: testSize, Label: "label-b"})
	c.place()
	c.flush()
	c.reportAll()
	require.True(t, c.planner.openPools(c.now)["pool"])
	c.evacuate(&r, "b", "c")
	require.False(t, c.planner.openPools(c.now)["pool"], "only the two full workers are in service")
	c.planner.updateHeadroom(time.Second)
	require.Equal(t, oleanderline.Millicores(8000), c.planner.headroom["pool"].capacity)
	require.Zero(t, c.planner.headroom["pool"].free)
	pool := &consolidation{}
	c.planner.addWorkers(map[oleanderline.PoolID]*consolidation{"pool": pool}, c.now)
	require.Equal(t, 2, pool.known)
	g := c.planner.jobs["fill"].occurrences[0].groups[0]
	g.step.Label = ""
	require.False(t, c.planner.reserveElsewhere(&g.tasks[0], c.now))
	require.False(t, c.planner.hasHarmlessWorker(&g.tasks[0], c.now))
	g.step.SameRack = true
	require.Equal(t, []oleanderline.RackID{"r-a", ""}, c.planner.racksFor(g))
	c.newTerm(2)
	c.planner.SetEvacuations(r.View(), c.now)
	c.report("w0")
	c.report("w1")
	require.False(t, c.planner.openPools(c.now)["pool"], "a new leader without a report of the workers out of service")
}

// Guards against a returned worker that stays bounded although its long-running tasks serve.
func TestServingTasksCountAsFinished(t *testing.T) {
	c := newDomainCell(t)
	var r evacuation.Requests
	c.evacuate(&r, "b")
	c.evacuate(&r)
	c.add("l", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true, Label: "label-b"})
	for _, want := range []int{1, 2, 3, 4} {
		c.place()
		require.Len(t, c.workers["w2"].running, want)
		for key, status := range c.workers["w2"].running {
			status.Percent = percentComplete
			c.workers["w2"].running[key] = status
		}
		c.reportAll()
		c.reportAll()
	}
}

// Guards against returned workers, which may be cold, that receive all waiting tasks at once; against a new leader that forgets that they
// have just returned; and against a bound that stays.
func TestLoadReturnsWithFinishedTasks(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		c := newDomainCell(t)
		var r evacuation.Requests
		c.evacuate(&r, "a")
		c.add("j", oleanderline.Step{Count: 40, Size: testSize, Estimate: time.Second, Label: "label-a"})
		c.place()
		require.Zero(t, c.startsOn()["w0"])
		c.evacuate(&r)
		if newLeader {
			c.newTerm(2)
			c.planner.SetEvacuations(r.View(), c.now)
			c.reportAll()
			c.flush()
			c.advance(time.Second)
			c.reportAll()
		}
		c.place()
		require.Equal(t, 1, c.startsOn()["w0"], "a quarter of the CPU")
		c.reportAll()
		c.place()
		require.Equal(t, 1, c.startsOn()["w0"])
		for _, want := range []int{2, 4} {
			for key := range c.workers["w0"].running {
				c.workers["w0"].end(key, oleanderline.EndDone)
			}
			c.reportAll()
			c.place()
			require.Len(t, c.workers["w0"].running, want)
		}
		require.Len(t, c.workers["w1"].running, 1)
		c.advance(time.Minute)
		c.place()
		c.place()
		require.Len(t, c.workers["w1"].running, 4)
	}
}

// Guards against a returned worker that long-running tasks move to all at once, so that they wait for its bound.
func TestReservationsKeepToTheRamp(t *testing.T) {
	c := newDomainCell(t)
	var r evacuation.Requests
	c.evacuate(&r, "b")
	c.add("l", oleanderline.Step{Count: 4, Size: testSize, LongRunning: true, Image: "s", TailTarget: time.Second, Label: "label-c"})
	c.place()
	c.reportAll()
	c.evacuate(&r)
	w := c.planner.workers["w2"]
	require.True(t, w.reserve(testSize, c.now))
	require.False(t, w.reserve(testSize, c.now))
	require.Equal(t, 4, c.planner.workers["w3"].servingImages[pairs.Image("s")])
}
