package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
)

// withMaintenance adds a fleet service and a maintenance window over all VMs, at most two of them at once.
func withMaintenance(c *testCell) {
	vms := map[oleanderline.VMID]*cellfake.Worker{}
	for i, worker := range c.workers {
		id := oleanderline.VMID(fmt.Sprintf("m%d", i))
		vms[id] = worker
		c.window.VMs = append(c.window.VMs, id)
	}
	c.window.ID, c.window.Duration, c.window.MaxDown = 1, time.Minute, 2
	c.fleet = cellfake.NewFleet(2*time.Second, vms)
}

// Guards against a leader crash while VMs are down that makes a maintenance window skip VMs, take down too many at once, end
// runs that could be moved, or be reported complete too early or never.
func TestMaintenanceSurvivesLeaderCrash(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader killed %t", kill), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) { runMaintenance(t, newTestCell(t, 1, commons, withMaintenance), kill) })
		})
	}
}

func runMaintenance(t *testing.T, c *testCell, kill bool) {
	defer c.close()
	time.Sleep(4 * time.Second) // until there is a leader
	job := oleanderline.Job{ID: "00000000000000aa", Queue: "q", Policy: testQueue, Payload: "1", Steps: []oleanderline.Step{
		{Count: 3, Size: oleanderline.Size{CPU: 1000, Memory: 100}, LongRunning: true},
	}}
	require.True(t, c.submit(job))
	c.appendRecord(streamConfig, "window", "1")
	if kill {
		time.Sleep(2 * time.Second)
		c.killLeader(3 * time.Second)
	}
	time.Sleep(c.window.Duration)
	maintained, maxDown, faults := c.fleet.Result(c.window.ID)
	require.Equal(t, workerCount, maintained)
	require.LessOrEqual(t, maxDown, c.window.MaxDown)
	require.Empty(t, faults)
	batch, err := c.store.Newest(c.ctx, streamStatus)
	require.NoError(t, err)
	require.Equal(t, "true", string(batch.Records[0].Value))
	c.checker.CheckFinal(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return c.process(0).node.State(c.ctx, "q", id)
	})
	require.Empty(t, c.checker.Violations())
}
