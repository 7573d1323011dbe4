// Package operator carries the operators' calls: the handlers at the daemons and the client of oleanderctl.
package operator

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Status is what one daemon tells about itself and about what it sees.
type Status struct {
	Daemon     string // "entry" or "sched"
	ID         oleanderline.VMID
	Region     oleanderline.RegionID
	Domain     oleanderline.DomainID
	Started    time.Time
	Stopping   bool
	Rules      rules.FollowerStatus
	LogService Service
	VMList     Service
	Members    []Member
	Requests   Requests // entries only
	Shards     []Shard  // schedulers only, those that it owns
	Workers    Workers  // schedulers only, those of the shards that it owns
}

// Service tells how a daemon reaches a service of the platform.
type Service struct {
	Down bool
	Age  time.Duration // since the last answer; negative without one
}

// Member is an own VM as a daemon sees it.
type Member struct {
	ID       oleanderline.VMID
	Domain   oleanderline.DomainID
	Alive    bool
	Draining bool
	Revision oleanderline.Revision
}

// Requests are the requests at an entry.
type Requests struct {
	InFlight int
	Queued   int
	Minions  int
	Ejected  int
	Leaving  int
}

// Shard is a shard that a scheduler owns.
type Shard struct {
	ID      oleanderline.ShardID
	Term    oleanderline.Term
	Ready   bool // the inventory is complete and tasks are placed
	Waiting int  // tasks
	Running int
	Age     time.Duration // since the last successful read of its stream
}

// Workers counts the workers of a scheduler's shards.
type Workers struct {
	Live        int
	Leaving     int
	Unreachable int
	Quarantined int
}

// Why explains the state of one task. Found is false at a scheduler that does not own the task's shard.
type Why struct {
	Found   bool
	Task    oleanderline.TaskID
	State   string // such as waiting, assigned, running, done
	Attempt oleanderline.Attempt
	Worker  oleanderline.WorkerID
	Since   time.Time
	Reasons []string // why it is in this state, the decisive one first
}
