package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Ref identifies one slot of one minion.
type Ref struct {
	Minion oleanderline.MinionID `json:"minion"`
	Slot   int                   `json:"slot"`
}

// Loan permits a peer to start requests on a slot until the loan expires. It contains a duration instead of a time, so
// that the clocks of the two entries need not be synchronized: the borrower counts from when it sent the loan request,
// the lender from when it received it.
type Loan struct {
	Ref
	Serial uint64        `json:"serial"` // distinguishes loans of one slot, so that a late return cannot end a newer loan
	For    time.Duration `json:"for"`
}

// Return is the return of a loan to its lender.
type Return struct {
	Lender oleanderline.VMID
	Loan   Loan
}

// Statement describes an entry's use of slots and is sent to its peers. Each contains the full state, so that lost
// statements do no harm.
type Statement struct {
	Seq     uint64              `json:"seq"`     // sequence number; rises with each statement, also across restarts
	First   uint64              `json:"first"`   // sequence number before the first statement of this process
	Settled bool                `json:"settled"` // the process has been running for at least the drain time
	Members []oleanderline.VMID `json:"members"` // eligible members in the entry's view
	Left    []oleanderline.VMID `json:"left"`    // entries that are no longer members but may still use slots
	Using   []Ref               `json:"using"`   // slots that the entry uses, has lent or has borrowed without being their holder
	// Heard holds the newest sequence number received from each peer. It proves that this statement is newer than those,
	// regardless of message delays.
	Heard map[oleanderline.VMID]uint64 `json:"heard"`
}
