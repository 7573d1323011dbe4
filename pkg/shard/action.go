package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Action is an output of a Core: one of the types in this file.
type Action any

// Append asks for a group to be appended to the shard's stream, answered by AppendDone. At most one is outstanding.
type Append struct {
	Group journal.Group
}

// Read asks for entries of the shard's stream, answered by ReadDone. At most one is outstanding.
type Read struct {
	From  oleanderline.Offset
	Limit int
}

// CallKind tells which operation of a worker to call.
type CallKind int

// Kinds of calls.
const (
	CallStart CallKind = iota + 1
	CallRenew
	CallStop
	CallInventory
	CallUsage
	CallThrottle
)

// Call asks for a call to a worker, answered by CallDone. At most one is outstanding for each worker.
type Call struct {
	ID      uint64
	Worker  oleanderline.WorkerID
	Address string
	Kind    CallKind
	Start   oleanderline.StartRequest
	Renew   oleanderline.RenewRequest
	Stop    oleanderline.StopRequest
	// Throttle is set for CallThrottle.
	Throttle oleanderline.ThrottleRequest
	// Before is when the call expires. A process that was paused between the decision and the call must not send it.
	Before time.Time
}

// Verdict is the answer to a submission.
type Verdict int

// Verdicts.
const (
	// Accepted means that the job is in the log.
	Accepted Verdict = iota + 1
	// NotRun means that the job is not in the log and will not be.
	NotRun
	// Unsure means that the log service did not say whether it stored the job. Repeating it with its key is safe.
	Unsure
	// Conflict means that the key belongs to another job.
	Conflict
	// NotOwner means that another process owns the shard.
	NotOwner
	// Impossible means that no worker of the region is large enough.
	Impossible
)

// Answer replies to a Submit or Cancel.
type Answer struct {
	Token   Token
	Verdict Verdict
	Reason  string
	Jobs    []JobStatus
	Owner   oleanderline.VMID // with NotOwner, if known
	Address string            // its peer address
}

// JobStatus describes a job. It is known to the owner and to followers.
type JobStatus struct {
	ID        oleanderline.JobID `json:"id"`
	Known     bool               `json:"known"`
	Waiting   int                `json:"waiting"`
	Assigned  int                `json:"assigned"`
	Done      int                `json:"done"`
	Failed    int                `json:"failed"`
	Cancelled int                `json:"cancelled"`
	Reason    string             `json:"why,omitempty"` // of the last failure
}

// Finished reports whether no task of the job is left.
func (s JobStatus) Finished() bool { return s.Known && s.Waiting+s.Assigned == 0 }

// SendOffer asks to pass an Offer to the owner of another shard, answered by LinkDone.
type SendOffer struct {
	ID    uint64
	To    oleanderline.ShardID
	From  oleanderline.ShardID
	Term  oleanderline.Term
	Tasks []MovedTask
}

// SendReport asks to pass a Report to the owner of another shard, answered by LinkDone.
type SendReport struct {
	ID   uint64
	To   oleanderline.ShardID
	Ends []End
}
