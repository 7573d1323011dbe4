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
	Number  int64         // increases with each invitation of a term
	Address string        // of the leader
	Lease   time.Duration // how far ahead of the current time the deadline of a call is
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	Hold     time.Duration // how long a worker may delay its answer to a renew call until a run ends
}

// compare orders invitations by term and number.
func (i Invitation) compare(other Invitation) int {
	return cmp.Or(cmp.Compare(i.Term, other.Term), cmp.Compare(i.Number, other.Number))
}

// PullRequest asks the leader for items.
type PullRequest struct {
	Agent      oleanderline.VMID
	Term       oleanderline.Term
	Invitation int64 // its number
	Got        int64 // number of the newest item that the agent has received
	Leaving    bool  // whether the agent is about to stop
}

// PullReply carries items from the leader, and the authority to send orders to workers for a limited time.
type PullReply struct {
	Known bool      // whether the invitation is current; if not, the agent stops
	Now   time.Time // the leader's clock when it replied
	// Authority is how long from Now the agent may send orders.
	Authority time.Duration
	Items     []Item // by ascending number
}

// ItemKind is the kind of an Item.
type ItemKind int

// Kinds of items.
const (
	ItemAssign        ItemKind = iota // start to serve a worker
	ItemUnassign                      // stop serving a worker
	ItemOrder                         // execute an order
	ItemAck                           // ends of runs are recorded
	ItemClearPayloads                 // clear the cache of payloads
)

// Item is one instruction of a leader to an agent.
type Item struct {
	Number  int64
	Kind    ItemKind
	Worker  oleanderline.WorkerID
	Address string // of the worker to serve
	// Serves numbers the assignment of a worker to the agent.
	Serves int64
	// LeaseLeft is how long from the leader's Now leases may last that were granted on the worker over earlier links; zero if
	// there are none.
	LeaseLeft time.Duration
	// Order has no payload if an earlier order for the same job carried it.
	Order plan.Order
	At    time.Time // when the order was decided, by the leader's clock
	Acked plan.Acked
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events, one for each method of link.Events, and two for LeaseExpired.
const (
	EventReport EventKind = iota
	EventResult
	EventCallFailed
	EventLeaseExpired
	EventFenced
	EventAnsweredLeasesExpired // a kind of its own, so that leaders of earlier versions ignore it
	EventReplaced
)

// Event is something that an agent has observed on a worker.
type Event struct {
	Kind   EventKind
	Worker oleanderline.WorkerID
	Serves int64 // the assignment under which it was observed
	Report oleanderline.WorkerReport
	// Sent is when the report was requested or the refused call was sent, by the leader's clock. It may be earlier than the true time, but not later.
	Sent     time.Time
	Order    plan.Order // without payload
	Attempts int
	Took     time.Duration // of the order
	Failure  Failure
	// LeaseEnd is when the leases on the worker expired, by the leader's clock.
	LeaseEnd time.Time
}

// PushRequest carries a batch of events to the leader.
type PushRequest struct {
	Agent      oleanderline.VMID
	Term       oleanderline.Term
	Invitation int64 // its number
	Number     int64 // of the batch, from 1; a batch is sent again until it is answered
	Events     []Event
}

// PushReply answers a PushRequest. Known reports whether the invitation is current.
type PushReply struct{ Known bool }

// Failure is the error of a call to a worker in a form that can be sent, because errors do not keep their identity on the wire.
type Failure struct {
	Kind    FailureKind
	Refusal oleanderline.RefusalReason
	Text    string
}

// FailureKind tells whether a failed call may have taken effect.
type FailureKind int

// Kinds of failures.
const (
	FailureNone FailureKind = iota
	FailureRefused
	FailureUnavailable
	FailureUncertain
)

// FailureOf converts an error to a Failure. An error that is neither a refusal nor ErrUncertain becomes FailureUnavailable.
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

// Err converts f back to an error. An unknown kind counts as uncertain, which is always safe to assume.
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
