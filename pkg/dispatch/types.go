// Package dispatch decides which request goes to which minion, waits, or is refused. It is a pure core: the caller passes
// the time and carries out the returned actions.
package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// RequestID identifies a request inside one entry.
type RequestID uint64

// Request is what the core needs to know about a request.
type Request struct {
	ID         RequestID
	Service    oleanderline.ServiceID
	Class      string // from the class rules, or "" if no rule matches
	Group      string // without Class: requests that probably run alike, such as the method and the first path segment
	Priority   rules.Priority
	Long       bool // counts against the share of long requests
	Idempotent bool
	Arrived    time.Time
	Deadline   time.Time // zero: none
}

// Minion is one back end as the VM list or the minion itself describes it.
type Minion struct {
	ID      oleanderline.MinionID
	Service oleanderline.ServiceID
	Address string // host:port with an IP number
	Domain  oleanderline.DomainID
	Rack    oleanderline.RackID
	Slots   int
	Leaving bool
}

// ActionKind tells what the caller has to do.
type ActionKind int

// Kinds of actions.
const (
	// ActionSend sends the request to the minion. The core counts one of the minion's slots as taken until Done.
	ActionSend ActionKind = iota + 1
	// ActionRefuse answers the caller that the request did not run. The core forgets the request.
	ActionRefuse
	// ActionProbe sends a health probe, which is no caller's request, to an ejected minion.
	ActionProbe
)

// Reason tells why a request was refused.
type Reason string

// Reasons of refusals, as they appear in the answer's header, logs and metrics.
const (
	ReasonQueueFull Reason = "queue-full"
	ReasonDeadline  Reason = "deadline" // it cannot be answered before its deadline
	ReasonNoMinion  Reason = "no-minion"
	ReasonShed      Reason = "shed" // a rule sheds its class
	ReasonLimit     Reason = "limit"
	ReasonStopping  Reason = "stopping"
	ReasonBudget    Reason = "retry-budget"
)

// Action is one decision.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Hedge      bool // for sends: a second copy of a request in flight
	Minion     oleanderline.MinionID
	Reason     Reason
	RetryAfter time.Duration // for refusals; zero: not known
}

// Finish reports the end of an exchange that an ActionSend began.
//
// After ResultNotRun the core keeps the request until Retry or Cancel is called for it. Otherwise it forgets the request
// with the end of its last copy.
type Finish struct {
	Request RequestID
	Minion  oleanderline.MinionID // of the ActionSend, because a hedged request has two
	Result  oleanderline.Result
	Failed  bool // the exchange broke or the minion refused; counts for ejection
	Latency time.Duration
}

// Want asks a peer for loans of idle slots of a service.
type Want struct {
	Peer    oleanderline.VMID
	Service oleanderline.ServiceID
	Count   int
	Long    bool // only long requests wait
}
