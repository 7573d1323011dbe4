package oleanderline

import "time"

// WindowID numbers the maintenance windows that operators ask for.
type WindowID int64

// MaintenanceWindow asks that each of some VMs has its maintenance in time, with a bound on how many are down at once.
type MaintenanceWindow struct {
	ID       WindowID
	VMs      []VMID
	Duration time.Duration
	AtOnce   int
}
