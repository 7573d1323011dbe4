package cellfake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Fleet is the service for the VMs of workers, one worker on each. A VM that goes down for its maintenance comes back with a
// new life of its worker.
type Fleet struct {
	takes   time.Duration
	workers map[oleanderline.VMID]*Worker

	mu     sync.Mutex
	term   map[oleanderline.VMID]oleanderline.Term
	had    map[oleanderline.VMID]oleanderline.WindowID
	down   map[oleanderline.VMID]bool
	most   int
	faults []string
}

// NewFleet returns a service whose maintenance takes a time.
func NewFleet(takes time.Duration, workers map[oleanderline.VMID]*Worker) *Fleet {
	return &Fleet{
		takes: takes, workers: workers, term: map[oleanderline.VMID]oleanderline.Term{},
		had: map[oleanderline.VMID]oleanderline.WindowID{}, down: map[oleanderline.VMID]bool{},
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
	case order.Term < f.term[order.VM]:
		return oleanderline.ErrFenced
	case f.had[order.VM] == order.Window:
		return nil
	case f.down[order.VM]:
		return oleanderline.ErrVMBusy
	}
	f.term[order.VM], f.had[order.VM], f.down[order.VM] = order.Term, order.Window, true
	if left := worker.RunCount(); left > 0 {
		f.faults = append(f.faults, fmt.Sprintf("%s goes down with %d runs", order.VM, left))
	}
	f.most = max(f.most, len(f.down))
	worker.Crash()
	time.AfterFunc(f.takes, func() { f.back(order.VM) })
	return nil
}

func (f *Fleet) back(id oleanderline.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.down, id)
	f.workers[id].Restart()
}

// Result returns how many VMs have had the maintenance of a window, how many were down at once at most, and the VMs that went
// down although something ran there.
func (f *Fleet) Result(window oleanderline.WindowID) (had, most int, faults []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.had {
		if id == window {
			had++
		}
	}
	return had, f.most, f.faults
}
