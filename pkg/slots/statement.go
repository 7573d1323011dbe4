package slots

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// Statement returns what to tell the peers now.
func (t *Table) Statement(now time.Time) Statement {
	t.seq++
	statement := Statement{
		Seq: t.seq, First: t.first, Settled: t.settled(now), Members: slices.Clone(t.members),
		Heard: make(map[oleanderline.VMID]uint64, len(t.peers)),
	}
	for id, p := range t.peers {
		statement.Heard[id] = p.statement.Seq
		if !p.lost.IsZero() {
			statement.Left = append(statement.Left, id)
		}
	}
	slices.Sort(statement.Left) // so that equal statements are recognized
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			if s.borrower != "" && s.fence == 0 && !now.Before(s.lentUntil) {
				s.fence = t.seq
			}
			borrowed := s.lender != "" && (s.busy || now.Before(s.until))
			if borrowed || (!s.mine && (s.busy || s.borrower != "")) {
				statement.Using = append(statement.Using, Ref{Minion: m.ID, Slot: i})
			}
		}
	}
	return statement
}

// Heard takes in the statement of a peer, and reports whether that changes which slots can be used. A statement that is
// older than the newest one is ignored.
func (t *Table) Heard(id oleanderline.VMID, statement Statement, now time.Time) (changed bool) {
	p, ok := t.peers[id]
	if !ok {
		// It leaves by plan, or it is not a member yet.
		p = &peer{lost: now}
		t.peers[id] = p
	}
	if statement.Seq <= p.statement.Seq {
		return false
	}
	p.statement = statement
	p.heard = now
	reclaimed := t.reclaim(id, p, now)
	confirmed := t.confirm(now)
	return reclaimed || confirmed
}

// reclaim takes back expired loans that the borrower no longer uses, for the case that their return was lost. The
// statement must answer one that was made after the expiry, when the borrower could not begin a request any more.
func (t *Table) reclaim(id oleanderline.VMID, p *peer, now time.Time) (changed bool) {
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			if s.borrower != id || s.fence == 0 || p.statement.Heard[t.self] < s.fence {
				continue
			}
			if !slices.Contains(p.statement.Using, Ref{Minion: m.ID, Slot: i}) {
				s.borrower = ""
				m.recount(now)
				changed = true
			}
		}
	}
	return changed
}

// confirm makes the slots ready of which this entry is the holder and which no peer uses any more.
func (t *Table) confirm(now time.Time) (changed bool) {
	if t.pending == 0 || !t.peersKnown(now) {
		return false
	}
	t.pending = 0
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			if !s.mine || s.ready {
				continue
			}
			s.ready = !t.usedByPeer(m.ID, i)
			changed = changed || s.ready
			if !s.ready {
				t.pending++
			}
		}
		m.recount(now)
	}
	return changed
}

// peersKnown reports whether every peer has stated its use of slots in a view that includes this entry, or has been lost
// for the drain time. New entries have to settle before: they may have heard only other new ones so far, and minions may
// still run what an earlier process of the same entry sent.
func (t *Table) peersKnown(now time.Time) bool {
	if !t.settled(now) {
		return false
	}
	for _, p := range t.peers {
		if !p.lost.IsZero() && now.Sub(p.lost) >= t.settings.Drain {
			continue
		}
		said := &p.statement
		if !t.stated(p) || !said.Settled || !t.knowsAll(said.Members) || !t.knowsAll(said.Left) {
			return false
		}
	}
	return true
}

func (t *Table) settled(now time.Time) bool {
	return now.Sub(t.started) >= t.settings.Drain
}

// stated reports whether the newest statement of a peer is of use. A peer that leaves by plan is no longer a member, but
// goes on stating what it uses. A statement that does not answer one of this process may date from before a loan that an
// earlier process of this entry granted.
func (t *Table) stated(p *peer) bool {
	return !p.heard.IsZero() && !p.heard.Before(p.lost) && p.statement.Heard[t.self] > t.first &&
		slices.Contains(p.statement.Members, t.self)
}

// knowsAll reports whether this entry has heard of every member that a peer names.
func (t *Table) knowsAll(members []oleanderline.VMID) bool {
	for _, id := range members {
		if id != t.self && t.peers[id] == nil {
			return false
		}
	}
	return true
}

func (t *Table) usedByPeer(id oleanderline.MinionID, number int) bool {
	for peerID, p := range t.peers {
		if slices.Contains(p.statement.Using, Ref{Minion: id, Slot: number}) {
			return true
		}
		if slices.Equal(p.statement.Members, t.members) {
			continue
		}
		if member.Home(key(id, number), p.statement.Members) == peerID {
			return true
		}
	}
	return false
}
