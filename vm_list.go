package oleanderline

import "context"

// VMList is the platform's list of VMs. It may be stale.
type VMList interface {
	// List returns all VMs that have not gone.
	List(ctx context.Context) ([]VM, error)
}

// Role says what a VM is used for.
type Role string

// Roles of VMs.
const (
	RoleWorker Role = "worker"
	RoleMinion Role = "minion"
	RoleOwn    Role = "own" // runs the daemons of this system
)

// VMState is the state of a VM in the VM list, which does not contain VMs that have gone.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	ID      VMID      `json:"id"`
	Role    Role      `json:"role"`
	State   VMState   `json:"state"`
	Address string    `json:"addr"` // host:port with an IP address; for own VMs only the host is used, see pkg/member
	Region  RegionID  `json:"region"`
	Domain  DomainID  `json:"domain"`
	Rack    RackID    `json:"rack,omitempty"`
	Service ServiceID `json:"service,omitempty"` // minions only
	Size    Size      `json:"size"`              // workers only
	Slots   int       `json:"slots,omitempty"`   // minions only: maximum number of concurrent requests
}
