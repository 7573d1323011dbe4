package rules

import "github.com/oleanderline/oleanderline"

// Order decides which entries of the rules stream are revisions. It is pure: the same entries in the same order give
// the same verdicts at every reader.
//
// An entry is accepted if and only if its base is the revision accepted last. After a gap (entries removed by retention
// before they were read) the revision accepted last is not known. An entry whose base lies behind the gap settles it:
// publishers use only accepted revisions as base, so the base was accepted, and the first entry with that base follows
// it. An entry whose base lies before the gap proves nothing, because another entry may have won inside the gap. An entry
// that holds edits proves the same but brings no text, so that the reader waits for one that holds its text.
type Order struct {
	current oleanderline.Revision
	next    oleanderline.Offset // the offset to read next; zero is the start of the stream
	first   oleanderline.Offset // the first offset read after a gap; zero without a gap

	// claimed holds the bases behind the gap that an entry without its text has; the first entry with a base wins.
	claimed map[oleanderline.Revision]struct{}

	unchecked bool // set only by the test that shows what the check of the base prevents
}

// Current returns the revision accepted last, as far as it is known. It never falls.
func (o *Order) Current() oleanderline.Revision { return o.current }

// Next returns the offset to read next.
func (o *Order) Next() oleanderline.Offset { return max(o.next, 1) }

// Settled reports whether no gap hides which revision was accepted last.
func (o *Order) Settled() bool { return o.first == 0 }

// Begin takes the oldest offset that the log service keeps, and reports whether entries were lost.
func (o *Order) Begin(oldest oleanderline.Offset) bool {
	if oldest <= o.Next() {
		return false
	}
	o.next = oldest
	o.first = oldest
	o.claimed = nil
	return true
}

// Offer takes the entry at offset and reports whether it is accepted. Offsets that were offered before are refused. An
// entry that is not whole can only be accepted without a gap.
func (o *Order) Offer(offset oleanderline.Offset, base oleanderline.Revision, whole bool) bool {
	if offset < o.Next() {
		return false
	}
	o.next = offset + 1
	if !o.accepts(offset, base, whole) {
		return false
	}
	o.current = oleanderline.Revision(offset)
	o.settle()
	return true
}

func (o *Order) settle() {
	o.first = 0
	o.claimed = nil
}

func (o *Order) accepts(offset oleanderline.Offset, base oleanderline.Revision, whole bool) bool {
	switch {
	case o.unchecked:
		return whole || base == o.current
	case o.Settled():
		return base == o.current
	case oleanderline.Offset(base) < o.first || oleanderline.Offset(base) >= offset:
		return false
	}
	_, claimed := o.claimed[base]
	if !whole && !claimed {
		if o.claimed == nil {
			o.claimed = map[oleanderline.Revision]struct{}{}
		}
		o.claimed[base] = struct{}{}
	}
	return whole && !claimed
}

// Skip passes over an entry that cannot be decoded.
func (o *Order) Skip(offset oleanderline.Offset) {
	o.next = max(o.Next(), offset+1)
}

// TakeOver adopts what a peer knows, and reports whether the revision changed. The peer's revision was accepted, so it
// settles this reader unless entries behind it were lost; a settled peer settles this reader if it has read as far as
// the end of the gap. Entries that were read before may be read again afterwards, with the same verdicts.
func (o *Order) TakeOver(s Snapshot) bool {
	if s.Revision < o.current {
		return false
	}
	changed := s.Revision > o.current
	following := oleanderline.Offset(s.Revision) + 1
	switch {
	case s.Settled && s.Next >= o.needed():
		o.next = s.Next
		o.settle()
	case changed && (o.Settled() || following >= o.first):
		o.next = following
		o.settle()
	}
	o.current = s.Revision
	return changed
}

// needed is the offset up to which a settled peer must have read to be of use.
func (o *Order) needed() oleanderline.Offset {
	if o.Settled() {
		return o.Next()
	}
	return o.first
}
