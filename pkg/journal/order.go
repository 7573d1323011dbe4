package journal

import (
	"github.com/oleanderline/oleanderline"
)

// Checks that a reader can be told to skip. They are used only in tests, to show that a property test notices.
type Checks struct {
	SkipTerms      bool // accepts groups of older terms
	SkipDuplicates bool // accepts second copies
}

// Order decides which groups of a stream count. Every reader that reads the same entries decides alike.
type Order struct {
	checks  Checks
	term    oleanderline.Term
	owner   oleanderline.VMID
	address string
	proved  map[oleanderline.Term]struct{}
	last    map[oleanderline.WriterID]lastGroup
	from    oleanderline.Offset // the first offset that this reader has seen
}

type lastGroup struct {
	seq    Seq
	offset oleanderline.Offset
}

// NewOrder returns the order of an empty stream.
func NewOrder(checks Checks) *Order {
	return &Order{
		checks: checks,
		proved: map[oleanderline.Term]struct{}{},
		last:   map[oleanderline.WriterID]lastGroup{},
	}
}

// Term returns the newest term.
func (o *Order) Term() oleanderline.Term { return o.term }

// Owner returns the owner of the newest term and its peer address. Both are empty if its claim is no longer kept.
func (o *Order) Owner() (oleanderline.VMID, string) { return o.owner, o.address }

// Survey notes the terms that a group proves to exist. A reader that starts behind the first entry surveys all kept
// entries before it accepts any: the claim that voids a late group of an older owner may be among the lost entries,
// but its owner's later groups, or the claim that replaced it, name its term.
func (o *Order) Survey(group Group) {
	if group.Term > 0 {
		o.proved[group.Term] = struct{}{}
	}
}

// Begin says that the reader starts at from, because the log service keeps nothing before. Groups that were formed
// earlier do not count then: an earlier copy may be among the lost entries. Nothing is missing without them, because
// the owner has appended what is live again long before.
func (o *Order) Begin(from oleanderline.Offset) { o.from = from }

// Accept reports whether the group at offset counts, and takes note of it.
func (o *Order) Accept(offset oleanderline.Offset, group Group) bool {
	if o.last[group.Writer].seq >= group.Seq && !o.checks.SkipDuplicates {
		return false
	}
	if group.Base < o.from && o.from > 1 && !o.checks.SkipDuplicates {
		return false
	}
	if !o.checks.SkipTerms && o.outdated(offset, group.Term) {
		return false
	}
	o.last[group.Writer] = lastGroup{seq: max(group.Seq, o.last[group.Writer].seq), offset: offset}
	if group.Term > o.term {
		o.term, o.owner, o.address = group.Term, "", ""
	}
	for _, record := range group.List {
		o.note(offset, record)
	}
	return true
}

func (o *Order) outdated(offset oleanderline.Offset, term oleanderline.Term) bool {
	if term < o.term {
		return true
	}
	for proved := range o.proved {
		if term < proved && oleanderline.Offset(proved) < offset {
			return true
		}
	}
	return false
}

func (o *Order) note(offset oleanderline.Offset, record Record) {
	switch {
	case record.Kind == KindClaim:
		o.term, o.owner, o.address = oleanderline.Term(offset), record.Owner, record.Address
	case record.Kind == KindKeep && record.Owner != "":
		o.owner, o.address = record.Owner, record.Address
	}
}

// Forget drops what is known about writers whose last group is before oldest: the log service no longer keeps it, and
// a retry is given up long before.
func (o *Order) Forget(oldest oleanderline.Offset) {
	for writer, last := range o.last {
		if last.offset < oldest {
			delete(o.last, writer)
		}
	}
	for term := range o.proved {
		if oleanderline.Offset(term) < oldest && term < o.term {
			delete(o.proved, term)
		}
	}
}
