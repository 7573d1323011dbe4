package oleanderline

import (
	"context"
	"errors"
)

// Fleet is the platform's service that manages the VMs of workers. An error that matches ErrUncertain means that an order may
// have taken effect, or may do so later.
type Fleet interface {
	// VMs returns all VMs of workers.
	VMs(ctx context.Context) ([]FleetVM, error)
	// Maintain takes a VM down for maintenance, which ends all its runs. It succeeds without effect if the VM has already had
	// its maintenance in that window.
	Maintain(ctx context.Context, order MaintainVM) error
}

// FleetVM describes the VM of a worker.
type FleetVM struct {
	ID     VMID
	Pool   PoolID
	State  FleetState
	Worker WorkerID // the worker on this VM; empty if there is none
}

// FleetState is the state of the VM of a worker.
type FleetState int

// States of the VMs of workers.
const (
	FleetUp FleetState = iota
	FleetMoving
	FleetMaintenance
	FleetDown
)

// MaintainVM orders the maintenance of one VM. Orders of earlier holders, which have a lower Term, are fenced.
type MaintainVM struct {
	VM     VMID
	Window WindowID
	Holder VMID // the VM of the leader that sends the order
	Term   Term // fencing token of the holder
}

// Errors of a Fleet, in addition to ErrFenced, ErrUnavailable and ErrUncertain.
var (
	// ErrVMBusy means that the VM is not up, or is about to leave the fleet.
	ErrVMBusy = errors.New("VM is not up or is leaving")
	// ErrVMUnknown means that there is no such VM, or that it is not part of the maintenance window.
	ErrVMUnknown = errors.New("no such VM in the maintenance window")
)
