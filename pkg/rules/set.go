// Package rules implements the operators' rules: the rules language, the publisher and the follower of the rules stream,
// and the acceptance of its entries as revisions.
package rules

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Set is a parsed revision of the rules file. It must not be changed after a Follower has put it in force.
type Set struct {
	Revision   oleanderline.Revision
	Text       string // the file exactly as published
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

// Source provides the rules in force. Current never returns nil; before the first revision it returns an empty set.
type Source interface {
	Current() *Set
}

// Origin is the line of a rule and the person or team that asked for it.
type Origin struct {
	Line    int    // from 1
	Comment string // the comment of the rule
}

// Target selects what a rule applies to: VMs, services or teams. Empty fields match everything; only a shed rule may leave
// all fields empty.
type Target struct {
	VM      oleanderline.VMID
	Rack    oleanderline.RackID
	Domain  oleanderline.DomainID
	Service oleanderline.ServiceID
	Team    oleanderline.TeamID
}

// Drain drains VMs while its window is active: they get no new work, batch tasks are moved away, and minions get no new
// requests.
type Drain struct {
	Origin
	Target
	Window
}

// Shed refuses batch starts and low-priority requests while a metric is above its threshold.
type Shed struct {
	Origin
	Target
	Window
	Metric string        // "cpu"
	Above  float64       // share in (0, 1]
	For    time.Duration // how long the metric must stay above the threshold first
}

// Hold reserves a share or an amount of capacity that batch work may not use.
type Hold struct {
	Origin
	Target
	Window
	Share float64           // of CPU and memory, in [0, 1]
	Size  oleanderline.Size // absolute amount, used if Share is 0
}

// Quota limits the resources that a team's batch tasks may be assigned at the same time. A zero field means no limit.
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

// Priority orders request classes and job classes; a higher value is served first.
type Priority int

// Values of the key priority. A class without it has PriorityNormal.
const (
	PriorityLow    Priority = 1
	PriorityNormal Priority = 2
	PriorityHigh   Priority = 3
)

// Class sets the priority of requests (by service and path prefix) or of jobs (by class name), and whether they run long.
type Class struct {
	Origin
	Name     string
	Service  oleanderline.ServiceID // requests only
	Path     string                 // requests only: prefix of the path
	Priority Priority
	Long     bool // expected to run long: limited to a share of its own, so that it cannot occupy every slot
}

// Limit limits the requests in flight and the requests per second of a service. Each entry daemon applies it on its own.
type Limit struct {
	Origin
	Service  oleanderline.ServiceID
	InFlight int
	Rate     float64 // requests per second at each entry daemon
}

// Unknown is a line with an error or with a verb that this version does not know. It is kept and reported, but has no
// effect.
type Unknown struct {
	Line int
	Text string
}
