package slots

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// Statement returns the statement to send to all peers now.
func (t *Table) Statement(now time.Time) Statement {
	t.seq++
	statement := Statement{
		Seq: t.seq, First: t.firstSeq, Settled: t.settled(now), Members: slices.Clone(t.members),
		Heard: make(map[oleanderline.VMID]uint64, len(t.peers)),
	}
	for id, p := range t.peers {
		statement.Heard[id] = p.statement.Seq
		if !p.lostAt.IsZero() {
			statement.Left = append(statement.Left, id)
		}
	}
	slices.Sort(statement.Left) // so that statements with the same content compare equal
	for _, m := range t.minionList {
		for i := range m.slots {
			s := &m.slots[i]
			if s.borrower != "" && s.expirySeq == 0 && !now.Before(s.lentUntil) {
				s.expirySeq = t.seq
			}
			borrowed := s.lender != "" && (s.busy || now.Before(s.borrowedUntil))
			if borrowed || (!s.assigned && (s.busy || s.borrower != "")) {
				statement.Using = append(statement.Using, Ref{Minion: m.ID, Slot: i})
			}
		}
	}
	return statement
}

// HandleStatement processes the statement of a peer and reports whether it changes which slots are usable. A statement
// that is older than the newest one is ignored.
func (t *Table) HandleStatement(id oleanderline.VMID, statement Statement, now time.Time) (changed bool) {
	p, ok := t.peers[id]
	if !ok {
		// The peer is leaving, or it is not a member yet.
		p = &peer{lostAt: now}
		t.peers[id] = p
	}
	if statement.Seq <= p.statement.Seq {
		return false
	}
	p.statement = statement
	p.heardAt = now
	reclaimed := t.reclaimExpired(id, p, now)
	confirmed := t.confirm(now)
	return reclaimed || confirmed
}

// reclaimExpired ends expired loans that the borrower no longer uses, in case their return was lost. The borrower's
// statement must acknowledge a statement that was made after the expiry, when the borrower could no longer start a
// request.
func (t *Table) reclaimExpired(id oleanderline.VMID, p *peer, now time.Time) (changed bool) {
	for _, m := range t.minionList {
		for i := range m.slots {
			s := &m.slots[i]
			if s.borrower != id || s.expirySeq == 0 || p.statement.Heard[t.self] < s.expirySeq {
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

// confirm marks the slots as usable of which this entry is the holder and which no peer uses any more.
func (t *Table) confirm(now time.Time) (changed bool) {
	if t.unconfirmed == 0 || !t.peersAccountedFor(now) {
		return false
	}
	t.unconfirmed = 0
	for _, m := range t.minionList {
		for i := range m.slots {
			s := &m.slots[i]
			if !s.assigned || s.confirmed {
				continue
			}
			s.confirmed = !t.usedByPeer(m.ID, i)
			changed = changed || s.confirmed
			if !s.confirmed {
				t.unconfirmed++
			}
		}
		m.recount(now)
	}
	return changed
}

// peersAccountedFor reports whether every peer has stated its use of slots in a view that includes this entry, or has
// been lost for the drain time. It reports false until this entry has run for the drain time: before that, it may have
// received statements from other new entries only, and minions may still run requests of an earlier process of the same
// entry.
func (t *Table) peersAccountedFor(now time.Time) bool {
	if !t.settled(now) {
		return false
	}
	for _, p := range t.peers {
		if !p.lostAt.IsZero() && now.Sub(p.lostAt) >= t.settings.Drain {
			continue
		}
		statement := &p.statement
		if !t.hasCurrentStatement(p) || !statement.Settled || !t.knowsAll(statement.Members) || !t.knowsAll(statement.Left) {
			return false
		}
	}
	return true
}

// settled reports whether this process has been running for the drain time.
func (t *Table) settled(now time.Time) bool {
	return now.Sub(t.startedAt) >= t.settings.Drain
}

// hasCurrentStatement reports whether the newest statement of a peer is current. A peer that is leaving is no longer a
// member but continues to send statements. A statement that does not acknowledge one of this process may be older than a
// loan that an earlier process of this entry granted.
func (t *Table) hasCurrentStatement(p *peer) bool {
	return !p.heardAt.IsZero() && !p.heardAt.Before(p.lostAt) && p.statement.Heard[t.self] > t.firstSeq &&
		slices.Contains(p.statement.Members, t.self)
}

// knowsAll reports whether every member that a peer names is known to this entry.
func (t *Table) knowsAll(members []oleanderline.VMID) bool {
	for _, id := range members {
		if id != t.self && t.peers[id] == nil {
			return false
		}
	}
	return true
}

// usedByPeer reports whether a peer states that it uses a slot, or is its holder according to its own, different view.
func (t *Table) usedByPeer(id oleanderline.MinionID, index int) bool {
	for peerID, p := range t.peers {
		if slices.Contains(p.statement.Using, Ref{Minion: id, Slot: index}) {
			return true
		}
		if slices.Equal(p.statement.Members, t.members) {
			continue
		}
		if member.Home(slotKey(id, index), p.statement.Members) == peerID {
			return true
		}
	}
	return false
}
