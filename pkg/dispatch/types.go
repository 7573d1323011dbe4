// Package dispatch decides for the requests at one entry (a reverse proxy) which are sent to which minion (a back end),
// which are queued and which are refused. It performs no I/O and reads no clock: the calling code passes the time and
// carries out the returned actions. Callers in the comments are the clients that sent the requests.
package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// RequestID identifies a request within one entry.
type RequestID uint64

// Request holds the properties of a request that dispatching depends on.
type Request struct {
	ID         RequestID
	Service    oleanderline.ServiceID
	Class      string // from the class rules; empty if no rule matches
	Group      string // if Class is empty: groups requests with similar run times, such as the method and the first path segment
	Priority   rules.Priority
	Long       bool // counts towards the slot share of long requests
	Idempotent bool
	Arrived    time.Time
	Deadline   time.Time // zero: none
}

// Minion describes a back end, from the VM list or as the minion itself reports it.
type Minion struct {
	ID      oleanderline.MinionID
	Service oleanderline.ServiceID
	Address string // host:port with an IP number
	Domain  oleanderline.DomainID
	Rack    oleanderline.RackID
	Slots   int
	Leaving bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// ActionSend sends the request to the minion. One of the minion's slots is busy until Done is called.
	ActionSend ActionKind = iota + 1
	// ActionRefuse tells the caller that the request did not run. Core no longer tracks the request.
	ActionRefuse
	// ActionProbe sends a health probe, which is not a caller's request, to an ejected minion.
	ActionProbe
)

// Reason is the reason of a refusal.
type Reason string

// Reasons of refusals, as they appear in the answer's header, in logs and in metrics.
const (
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline" // the answer would come after the deadline
	ReasonNoMinion  Reason = "no-minion"
	ReasonShed      Reason = "shed" // a shed rule refuses requests of low priority
	ReasonLimit     Reason = "limit"
	ReasonStopping  Reason = "stopping"
	ReasonBudget    Reason = "retry-budget"
)

// Action is a decision that the code calling Core must carry out.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Hedge      bool // for ActionSend: a second copy of a request in flight
	Minion     oleanderline.MinionID
	Reason     Reason
	RetryAfter time.Duration // for ActionRefuse; zero: unknown
}

// Completion describes the end of an exchange (one request sent to one minion) that an ActionSend started.
//
// If the last exchange of a request ends with ResultNotRun, Core keeps the request until Retry or Cancel is called.
// Otherwise Core stops tracking the request when its last exchange ends.
type Completion struct {
	Request RequestID
	Minion  oleanderline.MinionID // from the ActionSend; a hedged request has two
	Result  oleanderline.Result
	Failed  bool // the exchange broke or the minion refused; counts towards ejection
	Latency time.Duration
}

// LoanRequest is a request to a peer to lend idle slots of a service.
type LoanRequest struct {
	Peer    oleanderline.VMID
	Service oleanderline.ServiceID
	Count   int
	Long    bool // only long requests are queued
}
