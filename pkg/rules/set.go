// Package rules holds the operators' rules: their language, their order of revisions, and the follower of their stream.
package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Set is one revision of the rules file, parsed. It is immutable once published by a Follower.
type Set struct {
	Revision   oleanderline.Revision
	Text       string // the file as published, to the byte
	By         string // who published it
	Published  time.Time
	Drains     []Drain
	Sheds      []Shed
	Holds      []Hold
	Quotas     []Quota
	Objectives []Objective
	Classes    []Class
	Limits     []Limit
	Unknown    []Unknown
}

// Source gives the newest accepted rules. It never returns nil; before the first revision it returns an empty set.
type Source interface {
	Current() *Set
}

// Origin tells where a rule stands and who asked for it.
type Origin struct {
	Line int    // from 1
	Who  string // the comment
}

// Target selects VMs. Empty fields match everything; at least one field is set in a valid rule.
type Target struct {
	VM      oleanderline.VMID
	Rack    oleanderline.RackID
	Domain  oleanderline.DomainID
	Service oleanderline.ServiceID
	Team    oleanderline.TeamID
}

// Drain empties VMs from a time on: no new work, batch tasks are moved away, a minion gets no new requests.
type Drain struct {
	Origin
	Target
	Window
}

// Shed refuses batch starts and low-priority requests while a measurement is over its threshold.
type Shed struct {
	Origin
	Target
	Window
	Metric string        // "cpu"
	Above  float64       // share in (0, 1]
	For    time.Duration // how long the measurement must stand above the threshold
}

// Hold keeps a share or an amount of capacity free of batch work.
type Hold struct {
	Origin
	Target
	Window
	Share float64           // of processors and memory, in [0, 1]
	Size  oleanderline.Size // absolute amount, used if Share is 0
}

// Quota bounds what a team's batch tasks may be committed to at the same time. A zero field means no bound.
type Quota struct {
	Origin
	Team oleanderline.TeamID
	Size oleanderline.Size
}

// Objective is the service-level objective of a service.
type Objective struct {
	Origin
	Service oleanderline.ServiceID
	Latency time.Duration // a good request is answered within this time
	Target  float64       // share of good requests, in (0, 1)
}

// Priority orders request classes and job classes; a higher number goes first.
type Priority int

// Priorities.
const (
	PriorityLow    Priority = 1
	PriorityNormal Priority = 2
	PriorityHigh   Priority = 3
)

// Class assigns requests (by service and path prefix) or jobs (by class name) to a priority and a length.
type Class struct {
	Origin
	Name     string
	Service  oleanderline.ServiceID // requests only
	Path     string                 // requests only: prefix of the path
	Priority Priority
	Long     bool // expected to run long: gets a share of its own, so that it cannot hold every slot
}

// Limit bounds the requests in flight of a service at one entry, or the requests a second.
type Limit struct {
	Origin
	Service  oleanderline.ServiceID
	InFlight int
	Rate     float64 // requests a second at each entry
}

// Unknown is a line whose verb this version does not know. It is kept, ignored and reported.
type Unknown struct {
	Line int
	Text string
}
