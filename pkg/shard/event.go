package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Event is an input of a Core: one of the types in this file.
type Event any

// Tick lets time pass.
type Tick struct{}

// Members is the newest view of the own VMs that take shards, in rendezvous order for this shard.
type Members struct {
	Ranked []Candidate
}

// Candidate is an own VM that can own a shard.
type Candidate struct {
	ID     oleanderline.VMID
	Domain oleanderline.DomainID
}

// VMs is a VM list with the workers of this shard, and the largest workers of the region.
type VMs struct {
	Workers []oleanderline.VM
	Asked   time.Time           // when the list was asked for
	Shards  []oleanderline.Size // capacity of each shard of the region
	Largest []oleanderline.Size // sizes of workers of the region that no other exceeds
}

// Drains is the set of the workers of this shard that operators want empty, each with the rule that says so.
type Drains struct {
	Workers map[oleanderline.WorkerID]string
}

// Rules is the newest revision of the operators' rules.
type Rules struct {
	Set *rules.Set
}

// ReadDone answers a Read. Its entries are decoded.
type ReadDone struct {
	Asked  time.Time // when the read was sent
	From   oleanderline.Offset
	Oldest oleanderline.Offset
	Next   oleanderline.Offset
	Groups []Located
	Err    error
}

// Located is a group with its place in the stream.
type Located struct {
	Offset oleanderline.Offset
	Time   time.Time
	Group  journal.Group
}

// AppendDone answers an Append.
type AppendDone struct {
	Seq    journal.Seq
	Offset oleanderline.Offset
	Err    error
}

// CallDone answers a Call.
type CallDone struct {
	Worker    oleanderline.WorkerID
	ID        uint64
	Sent      bool // false if the call was dropped because it had expired
	Inventory oleanderline.Inventory
	Stop      oleanderline.StopResult
	Usage     oleanderline.Usage
	Err       error
}

// Token identifies the caller of a Submit or Cancel.
type Token uint64

// Submit asks for a job to be recorded.
type Submit struct {
	Token Token
	Job   journal.Job
}

// Cancel asks for jobs to be cancelled.
type Cancel struct {
	Token Token
	Jobs  []oleanderline.JobID
}

// Leave asks the owner to hand the shard over, because its process stops.
type Leave struct{}

// Rooms tells how much room the other shards of the region have, and the newest term of each that this process has read.
type Rooms struct {
	ByShard map[oleanderline.ShardID]Room
	Terms   map[oleanderline.ShardID]oleanderline.Term
}

// Room is what the owner of a shard tells the others.
type Room struct {
	Largest oleanderline.Size // free at one worker
	Free    oleanderline.Size // free at all workers
	Waiting int               // tasks that wait for a worker
}

// Offer asks to take tasks of another shard. It is answered by Accepted when all are recorded, and otherwise repeated.
type Offer struct {
	Token Token
	From  oleanderline.ShardID
	Term  oleanderline.Term // of the owner that offers
	Tasks []MovedTask
}

// MovedTask is a task on its way to another shard.
type MovedTask struct {
	Job  journal.Job
	Task journal.KeptTask
}

// Report brings the ends of tasks that moved. It is answered by Accepted when all are recorded, and otherwise repeated.
type Report struct {
	Token Token
	Ends  []End
}

// End is how a task that moved has ended.
type End struct {
	Task    oleanderline.TaskID
	Attempt oleanderline.Attempt
	At      oleanderline.Offset // of the move record: an owner that has not read it knows nothing about the task
	Kind    journal.Kind        // done, fail, or free for a cancelled task
	Reason  string
	Ran     time.Duration
}

// LinkDone answers a SendOffer or SendReport.
type LinkDone struct {
	ID       uint64
	Accepted bool
}
