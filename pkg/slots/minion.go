package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Minion holds the slots of one minion as this entry sees them.
type Minion struct {
	ID    oleanderline.MinionID
	slots []slot // never shrinks, because slots above the count may be busy or lent
	count int    // slots that the minion has now
	free  int
	held  int // free or busy
}

type slot struct {
	mine      bool // this entry is the holder in its own view
	ready     bool // no other entry uses the slot any more
	busy      bool
	borrower  oleanderline.VMID // set while lent
	lentUntil time.Time
	fence     uint64            // own statement that followed the expiry of the loan; zero: none yet
	serial    uint64            // of the loan, at either side
	lender    oleanderline.VMID // set while borrowed
	until     time.Time
}

func (s *slot) usable(now time.Time) bool {
	if s.busy {
		return false
	}
	return s.ownUsable() || (s.lender != "" && now.Before(s.until))
}

func (s *slot) ownUsable() bool {
	return s.mine && s.ready && s.borrower == "" && s.lender == ""
}

// Free returns the number of slots on which this entry may begin a request.
func (m *Minion) Free() int { return m.free }

// Take marks a free slot as busy and returns its number. It prefers own slots, so that loans can be returned soon.
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

// Release ends the use of a slot.
func (m *Minion) Release(number int, now time.Time) {
	if number < len(m.slots) {
		m.slots[number].busy = false
	}
	m.recount(now)
}

// Held returns the number of slots that this entry holds or has borrowed, busy ones included.
func (m *Minion) Held() int { return m.held }

func (m *Minion) recount(now time.Time) {
	m.free, m.held = 0, 0
	for i := range m.slots {
		switch s := &m.slots[i]; {
		case s.busy:
			m.held++
		case s.usable(now):
			m.free++
			m.held++
		}
	}
}
