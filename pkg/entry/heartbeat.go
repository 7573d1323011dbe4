package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Heartbeat is the message with which two entries exchange their state; the reply has the same type. It carries absolute
// state, so that lost and repeated heartbeats do no harm.
type Heartbeat struct {
	Member    member.Member
	Age       time.Duration // time since the process started, or since it resumed after a pause
	Refusing  bool          // the sender refuses new requests and needs no share of the slots
	Left      bool          // the sender is stopping and has handed over its keys
	Counted   []string      // hosts of the own VMs that the sender counts; its connections to minions are within the limit for their number
	Alone     bool          // the sender may hold the only copy of a key
	Lost      []Loss
	Statement slots.Statement

	Version   uint64 // version of the sender's state; zero if the receiver must not confirm it
	Confirmed uint64 // version of the receiver's state that the sender holds
	// Short means that the fields above except Member.ID are omitted; they are those of the state with this Version.
	Short bool
	Seq   uint64 // sequence number of the statement in a short heartbeat, minus Version
	Heard uint64 // newest sequence number received from the receiver, minus Confirmed
}

// Loss describes an entry that failed without handing over its idempotency keys.
type Loss struct {
	ID          oleanderline.VMID
	Incarnation int64
	For         time.Duration // remaining time for which its keys may still be valid
	Alone       bool          // it may have held the only copy of a key
}

// LendArgs requests loans of idle slots.
type LendArgs struct {
	From    oleanderline.VMID
	Service oleanderline.ServiceID
	Count   int
}

// ReturnArgs returns a loan.
type ReturnArgs struct {
	From oleanderline.VMID
	Loan slots.Loan
}

// RulesReply contains the current rules of an entry.
type RulesReply struct {
	Snapshot rules.Snapshot
}
