package journal

import (
	"github.com/oleanderline/oleanderline"
)

// DisabledChecks disables checks of a reader. It is used only in tests, to show that a property test fails without them.
type DisabledChecks struct {
	SkipTerms      bool // accept groups of older terms
	SkipDuplicates bool // accept duplicates of groups
}

// Order decides which groups of a stream are accepted. All readers of the same entries make the same decisions. A term is
// the offset of the claim that started it, so the terms of groups can be compared with offsets.
type Order struct {
	checks      DisabledChecks
	term        oleanderline.Term
	owner       oleanderline.VMID
	address     string
	provenTerms map[oleanderline.Term]struct{}
	last        map[oleanderline.WriterID]lastGroup
	startOffset oleanderline.Offset // first offset that this reader reads
}

type lastGroup struct {
	seq    Seq
	offset oleanderline.Offset
}

// NewOrder returns the order of an empty stream.
func NewOrder(checks DisabledChecks) *Order {
	return &Order{
		checks:      checks,
		provenTerms: map[oleanderline.Term]struct{}{},
		last:        map[oleanderline.WriterID]lastGroup{},
	}
}

// Term returns the newest term.
func (o *Order) Term() oleanderline.Term { return o.term }

// Owner returns the owner of the newest term and its peer address. Both are empty if the log service no longer keeps its
// claim and no keep record of the owner has been read.
func (o *Order) Owner() (oleanderline.VMID, string) { return o.owner, o.address }

// RecordTerm records that the term of a group exists. A reader whose first entries are no longer kept calls it for all kept
// entries before it accepts any. The claim that invalidates a delayed group of an older owner may be among the entries
// that are no longer kept, but the later groups of the new owner, or the claim that replaced it, contain its term.
func (o *Order) RecordTerm(group Group) {
	if group.Term > 0 {
		o.provenTerms[group.Term] = struct{}{}
	}
}

// SetStart sets the first offset of the reader, because the log service keeps no earlier entries. Groups that were formed
// before it are dropped: an earlier copy may be among the entries that are no longer kept. No state is lost, because the
// owner has restated live state in keep records long before.
func (o *Order) SetStart(from oleanderline.Offset) { o.startOffset = from }

// Accept reports whether the group at offset is accepted, and updates the term, owner and sequence numbers if so.
func (o *Order) Accept(offset oleanderline.Offset, group Group) bool {
	if o.last[group.Writer].seq >= group.Seq && !o.checks.SkipDuplicates {
		return false
	}
	if group.Base < o.startOffset && o.startOffset > 1 && !o.checks.SkipDuplicates {
		return false
	}
	if !o.checks.SkipTerms && o.hasStaleTerm(offset, group.Term) {
		return false
	}
	o.last[group.Writer] = lastGroup{seq: max(group.Seq, o.last[group.Writer].seq), offset: offset}
	if group.Term > o.term {
		o.term, o.owner, o.address = group.Term, "", ""
	}
	for _, record := range group.List {
		o.applyRecord(offset, record)
	}
	return true
}

func (o *Order) hasStaleTerm(offset oleanderline.Offset, term oleanderline.Term) bool {
	if term < o.term {
		return true
	}
	for provenTerm := range o.provenTerms {
		if term < provenTerm && oleanderline.Offset(provenTerm) < offset {
			return true
		}
	}
	return false
}

func (o *Order) applyRecord(offset oleanderline.Offset, record Record) {
	switch {
	case record.Kind == KindClaim:
		o.term, o.owner, o.address = oleanderline.Term(offset), record.Owner, record.Address
	case record.Kind == KindKeep && record.Owner != "":
		o.owner, o.address = record.Owner, record.Address
	}
}

// Prune removes the sequence numbers of writers whose last group is before oldest, and older terms that were claimed before
// oldest. The log service no longer keeps these groups, and retries of them have ended long before.
func (o *Order) Prune(oldest oleanderline.Offset) {
	for writer, last := range o.last {
		if last.offset < oldest {
			delete(o.last, writer)
		}
	}
	for term := range o.provenTerms {
		if oleanderline.Offset(term) < oldest && term < o.term {
			delete(o.provenTerms, term)
		}
	}
}
