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
	statement := Statement{Seq: t.seq, Members: slices.Clone(t.members)}
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			borrowed := s.lender != "" && (s.busy || now.Before(s.until))
			if borrowed || (!s.mine && (s.busy || s.borrower != "")) {
				statement.Using = append(statement.Using, Ref{Minion: m.ID, Slot: i})
			}
		}
	}
	return statement
}

// Heard takes in the statement of a peer. A statement that is older than the newest one is ignored.
func (t *Table) Heard(id oleanderline.VMID, statement Statement, now time.Time) {
	p, ok := t.peers[id]
	if !ok || (!p.heard.IsZero() && statement.Seq <= p.statement.Seq) {
		return
	}
	p.statement = statement
	p.heard = now
	t.reclaim(id, p, now)
	t.confirm(now)
}

// reclaim takes back expired loans that the borrower no longer uses. A statement that arrives later than the expiry by
// more than the message delay was made after the expiry, when the borrower could not begin a request any more.
func (t *Table) reclaim(id oleanderline.VMID, p *peer, now time.Time) {
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			if s.borrower != id || now.Before(s.lentUntil.Add(t.settings.Grace)) {
				continue
			}
			if !slices.Contains(p.statement.Using, Ref{Minion: m.ID, Slot: i}) {
				s.borrower = ""
				m.recount(now)
			}
		}
	}
}

// confirm makes the slots ready of which this entry is the holder and which no peer uses any more.
func (t *Table) confirm(now time.Time) {
	if t.pending == 0 || !t.peersKnown(now) {
		return
	}
	t.pending = 0
	for _, m := range t.order {
		for i := range m.slots {
			s := &m.slots[i]
			if !s.mine || s.ready {
				continue
			}
			s.ready = !t.usedByPeer(m.ID, i)
			if !s.ready {
				t.pending++
			}
		}
		m.recount(now)
	}
}

// peersKnown reports whether every peer has stated its use of slots in a view that includes this entry, or has been lost
// for the drain time. A lone new entry waits, because its peers may not have been heard yet.
func (t *Table) peersKnown(now time.Time) bool {
	if len(t.peers) == 0 {
		return now.Sub(t.started) >= t.settings.Drain
	}
	for _, p := range t.peers {
		// A peer that leaves by plan is no longer a member, but goes on stating what it uses.
		stated := p.heard.After(p.lost) && slices.Contains(p.statement.Members, t.self)
		if !p.lost.IsZero() && (stated || now.Sub(p.lost) >= t.settings.Drain) {
			continue
		}
		if !stated || !t.knowsAll(p.statement.Members) {
			return false
		}
	}
	return true
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
