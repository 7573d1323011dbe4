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

// withMaintenance adds a service for VMs, and a window over all of them, two at once.
func withMaintenance(w *world) {
	vms := map[oleanderline.VMID]*cellfake.Worker{}
	for i, worker := range w.workers {
		id := oleanderline.VMID(fmt.Sprintf("m%d", i))
		vms[id] = worker
		w.window.VMs = append(w.window.VMs, id)
	}
	w.window.ID, w.window.Duration, w.window.AtOnce = 1, time.Minute, 2
	w.fleet = cellfake.NewFleet(2*time.Second, vms)
}

// Guards against a window that is not carried out whole, takes down too many VMs at once, ends runs that could move, or is
// called complete too early or never, when its leader is killed while VMs are down.
func TestMaintenanceSurvivesTheLeader(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader killed %t", kill), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) { playMaintenance(t, newWorld(t, 1, commons, withMaintenance), kill) })
		})
	}
}

func playMaintenance(t *testing.T, w *world, kill bool) {
	defer w.close()
	time.Sleep(4 * time.Second) // a leader is found
	job := oleanderline.Job{ID: "00000000000000aa", Queue: "q", Policy: worldQueue, Payload: "1", Steps: []oleanderline.Step{
		{Count: 3, Size: oleanderline.Size{CPU: 1000, Memory: 100}, Lasting: true},
	}}
	require.True(t, w.submit(job))
	w.put(streamOp, "window", "1")
	if kill {
		time.Sleep(2 * time.Second)
		w.killLeader(3 * time.Second)
	}
	time.Sleep(w.window.Duration)
	had, most, faults := w.fleet.Result(w.window.ID)
	require.Equal(t, worldWorkers, had)
	require.LessOrEqual(t, most, w.window.AtOnce)
	require.Empty(t, faults)
	batch, err := w.store.Newest(w.ctx, streamStatus)
	require.NoError(t, err)
	require.Equal(t, "true", string(batch.Records[0].Value))
	w.checks.Final(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return w.member(0).node.State(w.ctx, "q", id)
	})
	require.Empty(t, w.checks.Result())
}
