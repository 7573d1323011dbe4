package cellfake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Fleet simulates the service that manages the VMs of workers, with one worker on each VM. After the maintenance of a VM, its
// worker restarts with a new incarnation.
type Fleet struct {
	duration time.Duration
	workers  map[oleanderline.VMID]*Worker

	mu         sync.Mutex
	terms      map[oleanderline.VMID]oleanderline.Term
	lastWindow map[oleanderline.VMID]oleanderline.WindowID
	down       map[oleanderline.VMID]bool
	maxDown    int
	violations []string
}

// NewFleet returns a service on which the maintenance of a VM takes the given duration.
func NewFleet(duration time.Duration, workers map[oleanderline.VMID]*Worker) *Fleet {
	return &Fleet{
		duration: duration, workers: workers, terms: map[oleanderline.VMID]oleanderline.Term{},
		lastWindow: map[oleanderline.VMID]oleanderline.WindowID{}, down: map[oleanderline.VMID]bool{},
	}
}

// VMs implements oleanderline.Fleet.
func (f *Fleet) VMs(context.Context) ([]oleanderline.FleetVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var vms []oleanderline.FleetVM
	for id, worker := range f.workers {
		vm := oleanderline.FleetVM{ID: id, Worker: worker.id}
		if f.down[id] {
			vm.State = oleanderline.FleetMaintenance
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// Maintain implements oleanderline.Fleet.
func (f *Fleet) Maintain(_ context.Context, order oleanderline.MaintainVM) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	worker := f.workers[order.VM]
	switch {
	case worker == nil:
		return oleanderline.ErrVMUnknown
	case order.Term < f.terms[order.VM]:
		return oleanderline.ErrFenced
	case f.lastWindow[order.VM] == order.Window:
		return nil
	case f.down[order.VM]:
		return oleanderline.ErrVMBusy
	}
	f.terms[order.VM], f.lastWindow[order.VM], f.down[order.VM] = order.Term, order.Window, true
	if running := worker.RunCount(); running > 0 {
		f.violations = append(f.violations, fmt.Sprintf("%s is taken down while %d runs are in progress", order.VM, running))
	}
	f.maxDown = max(f.maxDown, len(f.down))
	worker.Crash()
	time.AfterFunc(f.duration, func() { f.restore(order.VM) })
	return nil
}

// restore ends the maintenance of a VM.
func (f *Fleet) restore(id oleanderline.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, id)
	f.workers[id].Restart()
}

// Result returns how many VMs have had their maintenance in a window, the maximum number of VMs that were down at the same time,
// and a message for each VM that was taken down while runs were in progress on it.
func (f *Fleet) Result(window oleanderline.WindowID) (maintained, maxDown int, violations []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.lastWindow {
		if id == window {
			maintained++
		}
	}
	return maintained, f.maxDown, f.violations
}
