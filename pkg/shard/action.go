package shard

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// Action is an operation that the process must carry out for a Core: one of the types in this file.
type Action any

// Append requests the append of a group to the shard's stream. It is answered by AppendDone; at most one is outstanding.
type Append struct {
	Group journal.Group
}

// Read requests entries of the shard's stream. It is answered by ReadDone; at most one is outstanding.
type Read struct {
	From  oleanderline.Offset
	Limit int
}

// CallKind is the operation of a worker that a Call invokes.
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

// Call requests a call to a worker. It is answered by CallDone; at most one is outstanding for each worker.
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
	// Before is the deadline for sending the call. The process must not send it later, for example after it was paused
	// between the decision and the call.
	Before time.Time
}

// Verdict is the result of a Submit, Cancel, Offer or Report.
type Verdict int

// Verdicts.
const (
	// Accepted means that the request is recorded in the log.
	Accepted Verdict = iota + 1
	// NotRun means that the request is not in the log and will not be. The answer to an Offer or Report says with it only
	// that not everything is recorded yet.
	NotRun
	// Uncertain means that the log service did not confirm whether it stored the record. Repeating the request with the same
	// key is safe.
	Uncertain
	// Conflict means that the idempotency key is already used by a different job.
	Conflict
	// NotOwner means that another process owns the shard.
	NotOwner
	// Impossible means that the job can never run: no worker of the region is large enough, or its team's quota is too
	// small.
	Impossible
)

// Answer is the reply to a Submit, Cancel, Offer or Report.
type Answer struct {
	Token   Token
	Verdict Verdict
	Reason  string
	Jobs    []JobStatus
	Owner   oleanderline.VMID // the owner of the shard, with NotOwner if known
	Address string            // peer address of the owner
}

// JobStatus is the state of a job. The owner and the followers of its shard have it.
type JobStatus struct {
	ID        oleanderline.JobID `json:"id"`
	Known     bool               `json:"known"`
	Waiting   int                `json:"waiting"`
	Assigned  int                `json:"assigned"`
	Done      int                `json:"done"`
	Failed    int                `json:"failed"`
	Cancelled int                `json:"cancelled"`
	Reason    string             `json:"why,omitempty"` // reason of the last attempt that did not complete
}

// Finished reports whether no task of the job is left.
func (s JobStatus) Finished() bool { return s.Known && s.Waiting+s.Assigned == 0 }

// SendOffer requests that an Offer is sent to the owner of another shard. It is answered by SendDone.
type SendOffer struct {
	ID    uint64
	To    oleanderline.ShardID
	From  oleanderline.ShardID
	Term  oleanderline.Term
	Tasks []MovedTask
}

// SendReport requests that a Report is sent to the owner of another shard. It is answered by SendDone.
type SendReport struct {
	ID   uint64
	To   oleanderline.ShardID
	Ends []End
}
