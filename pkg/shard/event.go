package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Event is an input of a Core: one of the types in this file.
type Event any

// Tick lets the core do what has become due since the last event.
type Tick struct{}

// Members is the newest view of the own VMs that can take shards, in rendezvous order for this shard.
type Members struct {
	Ranked []Candidate
}

// Candidate is an own VM that can own a shard.
type Candidate struct {
	ID     oleanderline.VMID
	Domain oleanderline.DomainID
}

// VMs is the part of a VM list that concerns this shard: its workers, and what the region as a whole offers.
type VMs struct {
	Workers     []oleanderline.VM
	RequestedAt time.Time           // when the request for the list was sent
	Shards      []oleanderline.Size // total worker capacity of each shard of the region
	Largest     []oleanderline.Size // worker sizes of the region, without those that another one exceeds
}

// Drains is the set of the workers of this shard that operators drain, each with a description of the rule.
type Drains struct {
	Workers map[oleanderline.WorkerID]string
}

// Rules is the newest revision of the operators' rules.
type Rules struct {
	Set *rules.Set
}

// ReadDone answers a Read. Its entries are decoded.
type ReadDone struct {
	SentAt time.Time // when the read was sent
	From   oleanderline.Offset
	Oldest oleanderline.Offset
	Next   oleanderline.Offset
	Groups []LocatedGroup
	Err    error
}

// LocatedGroup is a group with its offset and time in the stream.
type LocatedGroup struct {
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
	Sent      bool // false if the call was not sent because its deadline had passed
	Inventory oleanderline.Inventory
	Stop      oleanderline.StopResult
	Usage     oleanderline.Usage
	Err       error
}

// Token identifies the caller of a Submit, Cancel, Offer or Report.
type Token uint64

// Submit requests that a job is recorded.
type Submit struct {
	Token Token
	Job   journal.Job
}

// Cancel requests that jobs are cancelled.
type Cancel struct {
	Token Token
	Jobs  []oleanderline.JobID
}

// Leave requests that the owner hands the shard over, because its process stops.
type Leave struct{}

// Rooms holds the room of the shards of the region, and the newest term of each that this process has read.
type Rooms struct {
	ByShard map[oleanderline.ShardID]Room
	Terms   map[oleanderline.ShardID]oleanderline.Term
}

// Room is the free capacity and the backlog of a shard, as its owner reports them to the other shards.
type Room struct {
	Largest oleanderline.Size // free capacity of the worker that has the most
	Free    oleanderline.Size // free capacity of all workers together
	Waiting int               // tasks that wait for a worker
}

// Offer requests that this shard takes tasks of another shard. It is answered with Accepted once all are recorded; until
// then the sender repeats it.
type Offer struct {
	Token Token
	From  oleanderline.ShardID
	Term  oleanderline.Term // term of the owner that sends the offer
	Tasks []MovedTask
}

// MovedTask is a task that moves to another shard.
type MovedTask struct {
	Job  journal.Job
	Task journal.TaskState
}

// Report holds the ends of tasks that moved to another shard. It is answered with Accepted once all are recorded; until then
// the sender repeats it.
type Report struct {
	Token Token
	Ends  []End
}

// End is the end of a task that moved to another shard.
type End struct {
	Task    oleanderline.TaskID
	Attempt oleanderline.Attempt
	At      oleanderline.Offset // offset of the move record; an owner that has not read up to it does not know yet that the task moved
	Kind    journal.Kind        // done, fail, or free for a cancelled task
	Reason  string
	Ran     time.Duration
}

// SendDone answers a SendOffer or SendReport.
type SendDone struct {
	ID       uint64
	Accepted bool
}
