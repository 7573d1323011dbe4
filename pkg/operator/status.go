// Package operator implements the calls of operators: the handlers at the daemons and the client that oleanderctl uses.
package operator

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Status is the state of a daemon and its view of the platform and the other members.
type Status struct {
	Daemon     string // "entry" or "sched"
	ID         oleanderline.VMID
	Region     oleanderline.RegionID
	Domain     oleanderline.DomainID
	Started    time.Time
	Stopping   bool
	Rules      rules.FollowerStatus
	LogService ServiceState
	VMList     ServiceState
	Members    []Member
	Requests   RequestCounts // entries only
	Shards     []Shard       // schedulers only: the shards that it owns
	Workers    WorkerCounts  // schedulers only: the workers of the shards that it owns
}

// ServiceState is the state of a platform service as seen by a daemon.
type ServiceState struct {
	Down bool
	Age  time.Duration // since the last answer; negative if there was none
}

// Member is the state of a VM that runs the daemons, as seen by a daemon.
type Member struct {
	ID       oleanderline.VMID
	Domain   oleanderline.DomainID
	Alive    bool
	Draining bool
	Revision oleanderline.Revision
}

// RequestCounts counts the requests and the minions of an entry.
type RequestCounts struct {
	InFlight int
	Queued   int
	Minions  int
	Ejected  int
	Leaving  int
}

// Shard is the state of a shard that a scheduler owns.
type Shard struct {
	ID      oleanderline.ShardID
	Term    oleanderline.Term
	Ready   bool          // the inventory is complete, and tasks are placed
	Waiting int           // number of tasks
	Running int           // number of tasks
	Age     time.Duration // since the last successful read of its stream
}

// WorkerCounts counts the workers of a scheduler's shards.
type WorkerCounts struct {
	Live        int
	Leaving     int
	Unreachable int
	Quarantined int
}

// TaskExplanation explains the state of one task. Found is false at a scheduler that does not own the task's shard.
type TaskExplanation struct {
	Found   bool
	Task    oleanderline.TaskID
	State   string // such as waiting, assigned, running or done
	Attempt oleanderline.Attempt
	Worker  oleanderline.WorkerID
	Since   time.Time
	Reasons []string // why the task is in this state, the decisive reason first
}
