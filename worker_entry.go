package oleanderline

import "time"

// WorkerEntry is what the platform's directory says about a worker.
type WorkerEntry struct {
	ID       WorkerID
	Address  string
	Pool     PoolID
	Domain   DomainID
	Rack     RackID
	Labels   []string
	Capacity Size
	Draining bool
	Leaving  time.Duration // the least time left while it drains
	Life     WorkerLife
}
