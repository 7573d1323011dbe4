package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// JoinArgs asks whether the request with a key may be sent. It is idempotent by its token.
type JoinArgs struct {
	Key      string
	Print    uint64
	Executor idempotency.Executor
	Token    uint64
	For      time.Duration        // the request has ended by then
	Wait     time.Duration        // how long the reply may be held back while another attempt runs
	Consent  bool                 // asked by the key's home; the receiver need not be the home
	Backup   bool                 // with Consent: the receiver is asked as the key's backup
	From     idempotency.Executor // with Consent: the home that asks
	To       int64                // with Consent: the incarnation of the receiver in the view of the home
}

// joinVerdict is the reply to JoinArgs.
type joinVerdict int

const (
	joinAway       joinVerdict = iota // no decision now; the request must not run
	joinRun                           // the asking attempt may be sent
	joinWait                          // another attempt runs
	joinEnded                         // the record tells the result
	joinMismatch                      // the key was used for another request
	joinFull                          // no more keys can be kept
	joinHomeLost                      // the home that may have permitted the request has died
	joinNotTheHome                    // the receiver's view has another home
)

// JoinReply is the reply to JoinArgs.
type JoinReply struct {
	Verdict int
	Record  idempotency.Record  // with joinEnded
	Holders []oleanderline.VMID // with joinRun: who has to learn the result
}

// SettleArgs reports the result of an attempt. With Release set it did not run.
type SettleArgs struct {
	Record  idempotency.Record
	Release bool
}

// HeldArgs asks for the record of a key.
type HeldArgs struct{ Key string }

// HeldReply carries the record, if there is one.
type HeldReply struct {
	Found  bool
	Record idempotency.Record
}

// AdoptArgs hands records over to their new home.
type AdoptArgs struct{ Records []idempotency.Record }
