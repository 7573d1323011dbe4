package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// JoinArgs asks whether an attempt to run the request with a key may be sent. Repeated calls with one token are
// idempotent.
type JoinArgs struct {
	Key      string
	Print    uint64               // fingerprint of the request
	Executor idempotency.Executor // entry that sends the request
	Token    uint64               // number of the attempt at its executor
	For      time.Duration        // time after which the request must have ended
	Wait     time.Duration        // how long the reply may be delayed while another attempt is running
	Consent  bool                 // sent by the key's home, which asks the receiver to store the record; the receiver need not be the home
	Backup   bool                 // with Consent: the receiver is the key's backup
	From     idempotency.Executor // with Consent: the home that asks
	To       int64                // with Consent: incarnation of the receiver in the view of the home
}

// joinVerdict is the decision about an attempt. It is sent as a number.
type joinVerdict int

const (
	joinUnavailable joinVerdict = iota // no decision is possible now; the request must not run
	joinRun                            // the attempt may be sent
	joinWait                           // another attempt is running
	joinEnded                          // an earlier attempt has ended; the record has its result
	joinMismatch                       // the key was used for a different request
	joinTableFull                      // no more keys can be stored
	joinHomeLost                       // the home has failed and may have permitted the request
	joinNotHome                        // another member is the key's home in the receiver's view
)

// JoinReply is the reply to JoinArgs.
type JoinReply struct {
	Verdict int
	Record  idempotency.Record  // with joinEnded
	Holders []oleanderline.VMID // members that store the record and must get the result
}

// SettleArgs reports the result of an attempt. If Release is set, the attempt did not run.
type SettleArgs struct {
	Record  idempotency.Record
	Release bool
}

// HeldArgs asks for the record of a key.
type HeldArgs struct{ Key string }

// HeldReply contains the record, if there is one.
type HeldReply struct {
	Found  bool
	Record idempotency.Record
}

// AdoptArgs hands records over to their new home.
type AdoptArgs struct{ Records []idempotency.Record }
