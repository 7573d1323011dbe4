package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Lend lends one idle own slot of a minion to a peer, and reports whether there was one.
func (t *Table) Lend(to oleanderline.VMID, m *Minion, now time.Time) (Loan, bool) {
	p, ok := t.peers[to]
	if !ok || !p.lost.IsZero() {
		return Loan{}, false
	}
	for i := range m.slots {
		s := &m.slots[i]
		if s.busy || !s.ownUsable() {
			continue
		}
		t.serial++
		s.borrower, s.serial, s.lentUntil, s.fence = to, t.serial, now.Add(t.settings.Loan), 0
		m.recount(now)
		return Loan{Ref: Ref{Minion: m.ID, Slot: i}, Serial: t.serial, For: t.settings.Loan}, true
	}
	return Loan{}, false
}

// Returned ends a loan at the lender. A return of an earlier loan is ignored.
func (t *Table) Returned(from oleanderline.VMID, loan Loan, now time.Time) {
	m, s := t.slot(loan.Ref)
	if s == nil || s.borrower != from || s.serial != loan.Serial {
		return
	}
	s.borrower = ""
	m.recount(now)
}

// Borrowed records a loan at the borrower; asked is when the borrower sent its question. It reports whether the loan is
// of use; otherwise it must be returned.
func (t *Table) Borrowed(lender oleanderline.VMID, loan Loan, asked, now time.Time) bool {
	m, s := t.slot(loan.Ref)
	until := asked.Add(loan.For)
	if p := t.peers[lender]; p != nil && loan.Serial <= p.statement.First {
		// An earlier process of the lender granted the loan; the present one does not know of it.
		return false
	}
	if s == nil || s.busy || s.lender != "" || s.ownUsable() || s.borrower != "" || !now.Before(until) {
		return false
	}
	s.lender, s.serial, s.until = lender, loan.Serial, until
	m.recount(now)
	return true
}

// GiveBack ends the idle loans of a minion at the borrower and appends them, to be returned. With expired set, it ends
// only those that have run out.
func (t *Table) GiveBack(m *Minion, expired bool, now time.Time, returns []Return) []Return {
	for i := range m.slots {
		s := &m.slots[i]
		if s.lender == "" || s.busy || (expired && now.Before(s.until)) {
			continue
		}
		loan := Loan{Ref: Ref{Minion: m.ID, Slot: i}, Serial: s.serial}
		returns = append(returns, Return{Lender: s.lender, Loan: loan})
		s.lender = ""
		m.recount(now)
	}
	return returns
}

func (t *Table) slot(ref Ref) (*Minion, *slot) {
	m, ok := t.minions[ref.Minion]
	if !ok || ref.Slot < 0 || ref.Slot >= len(m.slots) {
		return nil, nil
	}
	return m, &m.slots[ref.Slot]
}
