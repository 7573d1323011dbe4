package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Heartbeat is a heartbeat, in both directions. It carries absolute state, so that lost or repeated heartbeats do no harm.
type Heartbeat struct {
	Member    member.Member
	Age       time.Duration // since the start of the process, or since it resumed after a pause
	Refusing  bool          // it takes no new requests and needs no shares
	Left      bool          // it stops now and has handed over its keys
	Counted   []string      // hosts of the own VMs for which its connections to minions are within the bound
	Alone     bool          // keys may be known to it only
	Lost      []Loss
	Statement slots.Statement

	Version   uint64 // of the sender's state; zero: not to be confirmed
	Confirmed uint64 // version of the receiver's state that the sender holds
	// Short means that the state of Version replaces all of the above but Member.ID.
	Short bool
	Seq   uint64 // of a short heartbeat's statement, counted from Version
	Heard uint64 // newest sequence number heard from the receiver, counted from Confirmed
}

// Loss is the end of an entry that did not hand over its idempotency keys.
type Loss struct {
	ID          oleanderline.VMID
	Incarnation int64
	For         time.Duration // how much longer its keys have to be respected
	Alone       bool          // it may have had keys that no backup has
}

// LendArgs asks for loans of idle slots.
type LendArgs struct {
	From    oleanderline.VMID
	Service oleanderline.ServiceID
	Count   int
}

// ReturnArgs gives a loan back.
type ReturnArgs struct {
	From oleanderline.VMID
	Loan slots.Loan
}

// RulesReply carries the rules that an entry has in force.
type RulesReply struct {
	Snapshot rules.Snapshot
}
