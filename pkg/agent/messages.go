package agent

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// Invitation asks a process to serve workers for a leader.
type Invitation struct {
	Term    oleanderline.Term
	Number  int64         // rises with each invitation of a term
	Address string        // of the leader
	Lease   time.Duration // from now to the deadline that an order gives
	Hold    time.Duration // how long a hold waits for an end
}

// compare orders invitations by term and number.
func (i Invitation) compare(other Invitation) int {
	return cmp.Or(cmp.Compare(i.Term, other.Term), cmp.Compare(i.Number, other.Number))
}

// PullRequest asks the leader what to do.
type PullRequest struct {
	Agent      oleanderline.VMID
	Term       oleanderline.Term
	Invitation int64 // its number
	Got        int64 // the number of the newest item that has arrived
	Leaving    bool  // the agent is about to stop
}

// PullReply carries items from the leader, and the permission to give orders.
type PullReply struct {
	Known bool      // the leader counts on the agent under this invitation
	Now   time.Time // the leader's clock when it replied
	// Authority is how long orders may be given, from Now on.
	Authority time.Duration
	Items     []Item // in order
}

// ItemKind tells what an Item asks for.
type ItemKind int

// Kinds of items.
const (
	ItemServe  ItemKind = iota // begin to serve a worker
	ItemLeave                  // stop serving a worker
	ItemOrder                  // carry out an order
	ItemAck                    // ends are recorded
	ItemForget                 // forget all payloads
)

// Item is one thing that a leader asks of an agent.
type Item struct {
	Number  int64
	Kind    ItemKind
	Worker  oleanderline.WorkerID
	Address string // of the worker to serve
	// Serves numbers the assignment of a worker to the agent.
	Serves int64
	// LeaseLeft is how long runs may go on that others have ordered before, from the leader's Now on.
	LeaseLeft time.Duration
	// Order has no payload if an earlier order of the same job carried it.
	Order plan.Order
	At    time.Time // when the order was decided, by the leader's clock
	Acked plan.Acked
}

// EventKind tells what an Event says.
type EventKind int

// Kinds of events.
const (
	EventReport EventKind = iota
	EventResult
	EventCallFailed
	EventLeaseExpired
	EventFenced
)

// Event is what an agent has learned from a worker.
type Event struct {
	Kind   EventKind
	Worker oleanderline.WorkerID
	Serves int64 // the assignment under which it was learned
	Report oleanderline.WorkerReport
	// Sent is when the report was asked for, by the leader's clock: the true time, or earlier.
	Sent     time.Time
	Order    plan.Order // without payload
	Attempts int
	Failure  Failure
}

// PushRequest carries events to the leader.
type PushRequest struct {
	Agent      oleanderline.VMID
	Term       oleanderline.Term
	Invitation int64 // its number
	Number     int64 // of the batch, from 1; a batch is repeated until it is answered
	Events     []Event
}

// PushReply answers a PushRequest.
type PushReply struct{ Known bool }

// Failure is an error of a call to a worker, as errors do not keep their identity on the wire.
type Failure struct {
	Kind    FailureKind
	Refusal oleanderline.RefusalReason
	Text    string
}

// FailureKind tells what is known about a failed call.
type FailureKind int

// Kinds of failures.
const (
	FailureNone FailureKind = iota
	FailureRefused
	FailureUnavailable
	FailureUncertain
)

// FailureOf describes an error.
func FailureOf(err error) Failure {
	var refused *oleanderline.RefusedError
	switch {
	case err == nil:
		return Failure{}
	case errors.As(err, &refused):
		return Failure{Kind: FailureRefused, Refusal: refused.Reason}
	case errors.Is(err, oleanderline.ErrUncertain):
		return Failure{Kind: FailureUncertain, Text: err.Error()}
	}
	return Failure{Kind: FailureUnavailable, Text: err.Error()}
}

// Err returns the error that f describes. A kind that is not known counts as uncertain, which promises nothing.
func (f Failure) Err() error {
	switch f.Kind {
	case FailureNone:
		return nil
	case FailureRefused:
		return &oleanderline.RefusedError{Reason: f.Refusal}
	case FailureUnavailable:
		return fmt.Errorf("%s: %w", f.Text, oleanderline.ErrUnavailable)
	}
	return fmt.Errorf("%s: %w", f.Text, oleanderline.ErrUncertain)
}
