// Package slots decides which slots of the minions this entry may use. A slot is the right to run one request at a time
// on a minion. Each slot has one holder among the entries, chosen by rendezvous hashing over (minion, slot). A new holder
// uses the slot only after every peer has stated that it does not use it, or has been lost for the drain time. Holders
// lend idle slots to peers.
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
	Drain time.Duration // how long the slots of a lost member stay unused, and how long a new entry uses no slots
	Loan  time.Duration // how long a borrower may start requests on a slot
}

// DefaultSettings returns settings for a few heartbeats per second. The drain time and a heartbeat timeout of 1 s
// together are less than the 2 s within which latency must recover after the loss of an entry.
func DefaultSettings() Settings {
	return Settings{Drain: 900 * time.Millisecond, Loan: 300 * time.Millisecond}
}

// Table holds one entry's view of the slots of all minions.
type Table struct {
	settings    Settings
	self        oleanderline.VMID
	members     []oleanderline.VMID
	minions     map[oleanderline.MinionID]*Minion
	minionList  []*Minion
	peers       map[oleanderline.VMID]*peer
	startedAt   time.Time
	firstSeq    uint64 // sequence number before the first statement of this process
	seq         uint64
	loanSerial  uint64
	unconfirmed int // number of assigned slots that are not confirmed
}

// peer is the state of another entry.
type peer struct {
	statement Statement
	heardAt   time.Time // last statement; zero: none since the peer became a member
	lostAt    time.Time // zero: the peer is a member
}

// NewTable returns a Table without minions and members.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings,
		minions:  map[oleanderline.MinionID]*Minion{},
		peers:    map[oleanderline.VMID]*peer{},
	}
}

// Add adds a minion with a number of slots, or sets the number of slots of a known minion. New slots are usable only
// after a later call, such as Tick, has confirmed that no peer uses them.
func (t *Table) Add(id oleanderline.MinionID, slotCount int, now time.Time) *Minion {
	m, ok := t.minions[id]
	if !ok {
		m = &Minion{ID: id}
		t.minions[id] = m
		t.minionList = append(t.minionList, m)
	}
	m.slotCount = slotCount
	for len(m.slots) < slotCount {
		m.slots = append(m.slots, slot{})
	}
	t.assign(m, now)
	return m
}

// Remove removes a minion.
func (t *Table) Remove(id oleanderline.MinionID) {
	m, ok := t.minions[id]
	if !ok {
		return
	}
	delete(t.minions, id)
	t.minionList = slices.DeleteFunc(t.minionList, func(other *Minion) bool { return other == m })
}

// SetMembers replaces the eligible members. Peers that are no longer among them count as lost from now on.
func (t *Table) SetMembers(self oleanderline.VMID, members []oleanderline.VMID, now time.Time) {
	t.self = self
	if t.startedAt.IsZero() {
		t.startedAt = now
		t.firstSeq = uint64(now.UnixNano())
		t.seq, t.loanSerial = t.firstSeq, t.firstSeq
	}
	t.updatePeers(members, now)
	if slices.Equal(t.members, members) {
		return
	}
	t.members = slices.Clone(members)
	for _, m := range t.minionList {
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
		if !p.lostAt.IsZero() {
			// The sequence number is kept, so that a delayed statement from before the loss is still recognized as old.
			p.lostAt, p.heardAt = time.Time{}, time.Time{}
		}
	}
	for id, p := range t.peers {
		if p.lostAt.IsZero() && !slices.Contains(members, id) {
			p.lostAt = now
		}
	}
}

// assign determines for each slot of a minion whether this entry is the holder, and resets the confirmation of other
// slots.
func (t *Table) assign(m *Minion, now time.Time) {
	for i := range m.slots {
		s := &m.slots[i]
		s.assigned = i < m.slotCount && t.self != "" && member.Home(slotKey(m.ID, i), t.members) == t.self
		s.confirmed = s.confirmed && s.assigned
		if s.assigned && !s.confirmed {
			t.unconfirmed++
		}
	}
	m.recount(now)
}

func slotKey(id oleanderline.MinionID, index int) string {
	return string(id) + "/" + strconv.Itoa(index)
}

// Tick expires loans and removes peers that have been lost for the drain time.
func (t *Table) Tick(now time.Time) {
	for id, p := range t.peers {
		if !p.lostAt.IsZero() && now.Sub(later(p.lostAt, p.heardAt)) >= t.settings.Drain {
			delete(t.peers, id)
			t.reclaimAll(id, now)
		}
	}
	t.confirm(now)
	for _, m := range t.minionList {
		m.recount(now)
	}
}

// Idle reports whether no slot is unconfirmed, lent or borrowed and no peer is lost, so that Tick has nothing to do.
func (t *Table) Idle() bool {
	if t.unconfirmed > 0 {
		return false
	}
	for _, p := range t.peers {
		if !p.lostAt.IsZero() {
			return false
		}
	}
	for _, m := range t.minionList {
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

// reclaimAll ends all loans to a lost peer.
func (t *Table) reclaimAll(id oleanderline.VMID, now time.Time) {
	for _, m := range t.minionList {
		for i := range m.slots {
			if m.slots[i].borrower == id {
				m.slots[i].borrower = ""
			}
		}
		m.recount(now)
	}
}
