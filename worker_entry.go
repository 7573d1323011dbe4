package oleanderline

import "time"

// WorkerEntry is the entry of a worker in the platform's directory.
type WorkerEntry struct {
	ID          WorkerID
	Address     string
	Pool        PoolID
	Domain      DomainID
	Rack        RackID
	Labels      []string
	Capacity    Size
	Draining    bool
	Remaining   time.Duration // minimum remaining time while the worker drains
	Incarnation WorkerIncarnation
}
