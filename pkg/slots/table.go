// Package slots decides which slots of the minions this entry may use. Each slot has one holder by rendezvous hashing
// over (minion, slot). A new holder waits until every peer has stated that it does not use the slot, or has been lost for
// the drain time. Idle slots are lent to peers.
package slots

import (
	"slices"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// Settings of a Table.
type Settings struct {
	Drain time.Duration // after a member was lost, until its slots are used by others; also the wait of a lone new entry
	Loan  time.Duration // how long a borrower may begin requests on a slot
}

// DefaultSettings returns settings for heartbeats of a few a second. The drain time and a heartbeat timeout of 1 s
// together stay within the 2 s in which latency must recover after the loss of an entry.
func DefaultSettings() Settings {
	return Settings{Drain: 900 * time.Millisecond, Loan: 300 * time.Millisecond}
}

// Table holds the slots of all minions at one entry.
type Table struct {
	settings Settings
	self     oleanderline.VMID
	members  []oleanderline.VMID
	minions  map[oleanderline.MinionID]*Minion
	order    []*Minion
	peers    map[oleanderline.VMID]*peer
	started  time.Time
	first    uint64 // lowest sequence number of this process
	seq      uint64
	serial   uint64
	pending  int // slots of this entry that are not ready
}

type peer struct {
	statement Statement
	heard     time.Time // zero: no statement yet
	lost      time.Time // zero: a member
}

// NewTable returns a table without minions and members.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings,
		minions:  map[oleanderline.MinionID]*Minion{},
		peers:    map[oleanderline.VMID]*peer{},
	}
}

// Add adds a minion with a number of slots, or returns the one that is already there. The slots become usable with the
// next Tick, at the earliest.
func (t *Table) Add(id oleanderline.MinionID, count int, now time.Time) *Minion {
	m, ok := t.minions[id]
	if !ok {
		m = &Minion{ID: id}
		t.minions[id] = m
		t.order = append(t.order, m)
	}
	m.count = count
	for len(m.slots) < count {
		m.slots = append(m.slots, slot{})
	}
	t.assign(m, now)
	return m
}

// Remove forgets a minion.
func (t *Table) Remove(id oleanderline.MinionID) {
	m, ok := t.minions[id]
	if !ok {
		return
	}
	delete(t.minions, id)
	t.order = slices.DeleteFunc(t.order, func(other *Minion) bool { return other == m })
}

// SetMembers replaces the view of the eligible members. Peers that are no longer in it count as lost from now on.
func (t *Table) SetMembers(self oleanderline.VMID, members []oleanderline.VMID, now time.Time) {
	t.self = self
	if t.started.IsZero() {
		t.started = now
		t.first = uint64(now.UnixNano())
		t.seq, t.serial = t.first, t.first
	}
	t.updatePeers(members, now)
	if slices.Equal(t.members, members) {
		return
	}
	t.members = slices.Clone(members)
	for _, m := range t.order {
		t.assign(m, now)
	}
	t.confirm(now)
}

func (t *Table) updatePeers(members []oleanderline.VMID, now time.Time) {
	for _, id := range members {
		if id == t.self {
			continue
		}
		p, ok := t.peers[id]
		if !ok {
			t.peers[id] = &peer{}
			continue
		}
		if !p.lost.IsZero() {
			// Keeps the sequence number, so that a late statement from before the loss is still recognized as old.
			p.lost, p.heard = time.Time{}, time.Time{}
		}
	}
	for id, p := range t.peers {
		if p.lost.IsZero() && !slices.Contains(members, id) {
			p.lost = now
		}
	}
}

// assign computes the holder of each slot of a minion in the present view.
func (t *Table) assign(m *Minion, now time.Time) {
	for i := range m.slots {
		s := &m.slots[i]
		s.mine = i < m.count && t.self != "" && member.Home(key(m.ID, i), t.members) == t.self
		s.ready = s.ready && s.mine
		if s.mine && !s.ready {
			t.pending++
		}
	}
	m.recount(now)
}

func key(id oleanderline.MinionID, number int) string {
	return string(id) + "/" + strconv.Itoa(number)
}

// Tick applies the passing of time: loans run out and lost peers are forgotten.
func (t *Table) Tick(now time.Time) {
	for id, p := range t.peers {
		if !p.lost.IsZero() && now.Sub(later(p.lost, p.heard)) >= t.settings.Drain {
			delete(t.peers, id)
			t.forgetBorrower(id, now)
		}
	}
	t.confirm(now)
	for _, m := range t.order {
		m.recount(now)
	}
}

// Idle reports whether nothing in the table depends on the passing of time.
func (t *Table) Idle() bool {
	if t.pending > 0 {
		return false
	}
	for _, p := range t.peers {
		if !p.lost.IsZero() {
			return false
		}
	}
	for _, m := range t.order {
		for i := range m.slots {
			if m.slots[i].borrower != "" || m.slots[i].lender != "" {
				return false
			}
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forgetBorrower takes back what a lost peer had borrowed.
func (t *Table) forgetBorrower(id oleanderline.VMID, now time.Time) {
	for _, m := range t.order {
		for i := range m.slots {
			if m.slots[i].borrower == id {
				m.slots[i].borrower = ""
			}
		}
		m.recount(now)
	}
}
