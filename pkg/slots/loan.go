package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Ref names one slot of one minion.
type Ref struct {
	Minion oleanderline.MinionID `json:"minion"`
	Slot   int                   `json:"slot"`
}

// Loan lets a peer begin requests on a slot for a bounded time. It carries a duration instead of a time, so that the
// clocks of the two entries need not agree: the borrower counts from when it asked, the lender from when it was asked.
type Loan struct {
	Ref
	Serial uint64        `json:"serial"` // distinguishes loans of one slot, so that a late return cannot end a newer loan
	For    time.Duration `json:"for"`
}

// Return gives a loan back to its lender.
type Return struct {
	Lender oleanderline.VMID
	Loan   Loan
}

// Statement is what one entry tells its peers about its use of slots. It is absolute, so that lost statements do no harm.
type Statement struct {
	Seq     uint64              `json:"seq"`     // rises with each statement, also across restarts
	First   uint64              `json:"first"`   // sequence number before the first statement since the start
	Settled bool                `json:"settled"` // the process has run for the drain time
	Members []oleanderline.VMID `json:"members"` // the eligible members in the view of the entry
	Left    []oleanderline.VMID `json:"left"`    // no longer members, but may still use slots
	Using   []Ref               `json:"using"`   // slots that it uses, has lent or has borrowed without being their holder
	// Heard holds the newest sequence number heard from each peer. It proves that the statement was made later than that,
	// however long either was delayed.
	Heard map[oleanderline.VMID]uint64 `json:"heard"`
}
