package maintenance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a VM whose maintenance is recorded as done because one list lacks it.
func TestVMMissingFromOneListIsNotFinished(t *testing.T) {
	f, c := newFleet(2), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, MaxDown: 1})
	incomplete := slices.DeleteFunc(f.list(), func(v oleanderline.FleetVM) bool { return v.ID == "m1" })
	c.Decide(incomplete, f, f.now)
	f.runWindow(t, c, 1, time.Minute, accept)
	require.True(t, f.maintained["m0"])
	require.True(t, f.maintained["m1"], "the window is complete without the maintenance of m1")
}

// Guards against a VM that is taken down under protected tasks of a worker that has started there since vacating began.
func TestVacatedVMWithANewWorkerIsNotTakenDown(t *testing.T) {
	f, c := newFleet(1), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, MaxDown: 1})
	f.busy["m0"], f.protected["m0"] = true, true
	require.Equal(t, []oleanderline.WorkerID{"m0"}, c.Decide(f.list(), f, f.now).Vacate)
	restarted := f.list()
	restarted[0].Worker = "m0-second"
	f.busy = map[oleanderline.WorkerID]bool{"m0-second": true}
	f.protected = map[oleanderline.WorkerID]bool{"m0-second": true}
	f.now = f.now.Add(time.Second)
	c.Decide(restarted, f, f.now)
	for _, progress := range c.Changes() {
		require.Empty(t, progress.Ordered, "the VM may be ordered down while protected tasks run on it")
	}
}
