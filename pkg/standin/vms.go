package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// VMs is a stand-in for the VM list. Each change becomes visible after a lag.
type VMs struct {
	Faults

	lag time.Duration

	stateMu sync.Mutex
	rows    []oleanderline.VM
	changes []vmChange
}

type vmChange struct {
	visibleAt time.Time
	apply     func(rows []oleanderline.VM) []oleanderline.VM
}

var _ oleanderline.VMList = (*VMs)(nil)

// NewVMs returns a list in which rows are visible immediately, and later changes after the lag.
func NewVMs(clock oleanderline.Clock, lag time.Duration, rows ...oleanderline.VM) *VMs {
	return &VMs{Faults: Faults{clock: clock}, lag: lag, rows: rows}
}

// List implements oleanderline.VMList.
func (v *VMs) List(ctx context.Context) ([]oleanderline.VM, error) {
	return invoke(ctx, &v.Faults, func() ([]oleanderline.VM, error) { return v.list(), nil })
}

// Add adds a VM as live, or replaces its row.
func (v *VMs) Add(vm oleanderline.VM) {
	vm.State = oleanderline.VMLive
	v.addChange(func(rows []oleanderline.VM) []oleanderline.VM { return append(withoutVM(rows, vm.ID), vm) })
}

// MarkLeaving sets the state of a VM to leaving.
func (v *VMs) MarkLeaving(id oleanderline.VMID) {
	v.addChange(func(rows []oleanderline.VM) []oleanderline.VM {
		for i := range rows {
			if rows[i].ID == id {
				rows[i].State = oleanderline.VMLeaving
			}
		}
		return rows
	})
}

// Remove removes a VM from the list. The caller must have terminated the VM before, as the platform does.
func (v *VMs) Remove(id oleanderline.VMID) {
	v.addChange(func(rows []oleanderline.VM) []oleanderline.VM { return withoutVM(rows, id) })
}

func (v *VMs) addChange(apply func([]oleanderline.VM) []oleanderline.VM) {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	v.changes = append(v.changes, vmChange{visibleAt: v.clock.Now().Add(v.lag), apply: apply})
}

func (v *VMs) list() []oleanderline.VM {
	v.stateMu.Lock()
	defer v.stateMu.Unlock()
	now := v.clock.Now()
	for len(v.changes) > 0 && !v.changes[0].visibleAt.After(now) {
		v.rows = v.changes[0].apply(v.rows)
		v.changes = v.changes[1:]
	}
	return slices.Clone(v.rows)
}

func withoutVM(rows []oleanderline.VM, id oleanderline.VMID) []oleanderline.VM {
	return slices.DeleteFunc(rows, func(vm oleanderline.VM) bool { return vm.ID == id })
}
