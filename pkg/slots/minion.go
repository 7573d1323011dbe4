package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Minion holds this entry's view of the slots of one minion.
type Minion struct {
	ID        oleanderline.MinionID
	slots     []slot // never shrinks, because slots from slotCount on may still be busy or lent
	slotCount int    // number of slots that the minion has now
	free      int
	capacity  int // slots that this entry may use, free or busy
}

// slot is this entry's view of one slot.
type slot struct {
	assigned      bool // this entry is the holder according to its own view of the members
	confirmed     bool // no other entry uses the slot
	busy          bool
	borrower      oleanderline.VMID // set while the slot is lent
	lentUntil     time.Time
	expirySeq     uint64            // sequence number of the first own statement after the loan expired; zero: none yet
	serial        uint64            // of the loan, at the lender and at the borrower
	lender        oleanderline.VMID // set while the slot is borrowed
	borrowedUntil time.Time
}

// usable reports whether this entry may start a request on the slot.
func (s *slot) usable(now time.Time) bool {
	if s.busy {
		return false
	}
	return s.ownUsable() || (s.lender != "" && now.Before(s.borrowedUntil))
}

// ownUsable reports whether this entry may use the slot as its holder. It does not check whether the slot is busy.
func (s *slot) ownUsable() bool {
	return s.assigned && s.confirmed && s.borrower == "" && s.lender == ""
}

// Free returns the number of slots on which this entry may start a request.
func (m *Minion) Free() int { return m.free }

// Take marks a free slot as busy and returns its index. It prefers slots that are not borrowed, so that loans can be
// returned early.
func (m *Minion) Take(now time.Time) (int, bool) {
	best := -1
	for i := range m.slots {
		s := &m.slots[i]
		if !s.usable(now) {
			continue
		}
		best = i
		if s.lender == "" {
			break
		}
	}
	if best < 0 {
		m.recount(now)
		return 0, false
	}
	m.slots[best].busy = true
	m.free--
	return best, true
}

// Release marks a slot as no longer busy.
func (m *Minion) Release(index int, now time.Time) {
	if index < len(m.slots) {
		m.slots[index].busy = false
	}
	m.recount(now)
}

// Capacity returns the number of slots that this entry may use or is using, borrowed ones included.
func (m *Minion) Capacity() int { return m.capacity }

// recount updates the numbers of free and usable slots.
func (m *Minion) recount(now time.Time) {
	m.free, m.capacity = 0, 0
	for i := range m.slots {
		switch s := &m.slots[i]; {
		case s.busy:
			m.capacity++
		case s.usable(now):
			m.free++
			m.capacity++
		}
	}
}
