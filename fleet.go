package oleanderline

import (
	"context"
	"errors"
)

// Fleet is the platform's service for the VMs of workers. An error that matches ErrUncertain means that an order may be
// carried out, also later.
type Fleet interface {
	// VMs lists the VMs of workers.
	VMs(ctx context.Context) ([]FleetVM, error)
	// Maintain takes a VM down for its maintenance, which ends everything that runs there. It succeeds without effect if the
	// VM has had its maintenance of that window.
	Maintain(ctx context.Context, order MaintainVM) error
}

// FleetVM is what the platform says about the VM of a worker.
type FleetVM struct {
	ID     VMID
	Pool   PoolID
	State  FleetState
	Worker WorkerID // the worker that runs on it, if any
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

// MaintainVM orders the maintenance of one VM. Holder and Term fence earlier holders.
type MaintainVM struct {
	VM     VMID
	Window WindowID
	Holder VMID
	Term   Term
}

// Errors of a Fleet, beside ErrFenced, ErrUnavailable and ErrUncertain.
var (
	// ErrVMBusy means that the VM is not up, or leaving.
	ErrVMBusy = errors.New("the VM is not up or leaves")
	// ErrVMUnknown means that there is no such VM, or that it does not belong to the window.
	ErrVMUnknown = errors.New("no such VM in the window")
)
