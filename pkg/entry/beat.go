package entry

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Beat is a heartbeat, in both directions. It carries absolute state, so that lost or repeated beats do no harm.
type Beat struct {
	Member    member.Member
	Age       time.Duration // since the start of the process, or since it resumed after a pause
	Refusing  bool          // it takes no new requests and needs no shares
	Left      bool          // it stops now and has handed over its keys
	Counted   []string      // hosts of the own VMs for which its connections to minions are within the bound
	Lost      []Loss
	Statement slots.Statement
}

// Loss is the end of an entry that did not hand over its idempotency keys.
type Loss struct {
	ID          oleanderline.VMID
	Incarnation int64
	For         time.Duration // how much longer its keys have to be respected
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
