package rules

import "github.com/oleanderline/oleanderline"

// Acceptor decides which entries of the rules stream become revisions. It is deterministic and does no I/O: every reader
// of the same entries in the same order accepts the same ones.
//
// An entry is accepted if and only if its base is the newest revision, the one accepted last. After a gap (entries removed
// by retention before they were read) the newest revision is not known. The first entry after the gap whose base also lies
// after the gap settles it: publishers use only accepted revisions as base, so the base was accepted, and the first entry
// with that base was accepted next. An entry whose base lies before the gap proves nothing, because another entry with the
// same base may have been accepted inside the gap. An entry that holds edits proves as much but its text cannot be
// restored without its base, so the reader waits for an entry with its full text.
type Acceptor struct {
	current oleanderline.Revision
	next    oleanderline.Offset // the offset to read next; zero is the start of the stream
	gapEnd  oleanderline.Offset // the first offset read after a gap; zero without a gap

	// claimedBases holds the bases after the gap for which an entry with edits was read. Only the first entry with a given
	// base is accepted, so later entries with these bases are refused.
	claimedBases map[oleanderline.Revision]struct{}

	skipBaseCheck bool // set only by the test that shows which faults the check of the base prevents
}

// Current returns the newest known revision. It never decreases.
func (a *Acceptor) Current() oleanderline.Revision { return a.current }

// Next returns the offset to read next.
func (a *Acceptor) Next() oleanderline.Offset { return max(a.next, 1) }

// Settled reports whether the newest revision is known, that is, no gap leaves it open.
func (a *Acceptor) Settled() bool { return a.gapEnd == 0 }

// SetOldest takes the oldest offset that the log service still keeps, and reports whether entries were removed before
// they were read.
func (a *Acceptor) SetOldest(oldest oleanderline.Offset) bool {
	if oldest <= a.Next() {
		return false
	}
	a.next = oldest
	a.gapEnd = oldest
	a.claimedBases = nil
	return true
}

// Accept processes the entry at offset and reports whether it is accepted. It returns false for an offset that was
// processed before. An entry without its full text can be accepted only while the acceptor is settled.
func (a *Acceptor) Accept(offset oleanderline.Offset, base oleanderline.Revision, fullText bool) bool {
	if offset < a.Next() {
		return false
	}
	a.next = offset + 1
	if !a.acceptable(offset, base, fullText) {
		return false
	}
	a.current = oleanderline.Revision(offset)
	a.settle()
	return true
}

func (a *Acceptor) settle() {
	a.gapEnd = 0
	a.claimedBases = nil
}

func (a *Acceptor) acceptable(offset oleanderline.Offset, base oleanderline.Revision, fullText bool) bool {
	switch {
	case a.skipBaseCheck:
		return fullText || base == a.current
	case a.Settled():
		return base == a.current
	case oleanderline.Offset(base) < a.gapEnd || oleanderline.Offset(base) >= offset:
		return false
	}
	_, claimed := a.claimedBases[base]
	if !fullText && !claimed {
		if a.claimedBases == nil {
			a.claimedBases = map[oleanderline.Revision]struct{}{}
		}
		a.claimedBases[base] = struct{}{}
	}
	return fullText && !claimed
}

// Skip advances past an entry that cannot be decoded.
func (a *Acceptor) Skip(offset oleanderline.Offset) {
	a.next = max(a.Next(), offset+1)
}

// Adopt takes over the state of a peer if its revision is not older, and reports whether the revision changed. The peer's
// revision was accepted, so it settles this reader unless entries after it were lost. A settled peer settles this reader
// if it has read up to the end of the gap. Entries that were read before may be read again afterwards, with the same
// results.
func (a *Acceptor) Adopt(s Snapshot) bool {
	if s.Revision < a.current {
		return false
	}
	changed := s.Revision > a.current
	afterRevision := oleanderline.Offset(s.Revision) + 1
	switch {
	case s.Settled && s.Next >= a.requiredNext():
		a.next = s.Next
		a.settle()
	case changed && (a.Settled() || afterRevision >= a.gapEnd):
		a.next = afterRevision
		a.settle()
	}
	a.current = s.Revision
	return changed
}

// requiredNext returns the offset up to which a settled peer must have read for this reader to adopt its position.
func (a *Acceptor) requiredNext() oleanderline.Offset {
	if a.Settled() {
		return a.Next()
	}
	return a.gapEnd
}
