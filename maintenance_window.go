package oleanderline

import "time"

// WindowID numbers the maintenance windows that operators request.
type WindowID int64

// MaintenanceWindow requests the maintenance of each of the given VMs within Duration, with a limit on how many are down at once.
type MaintenanceWindow struct {
	ID       WindowID
	VMs      []VMID
	Duration time.Duration
	MaxDown  int // maximum number of VMs that are down at the same time
}
