package slots

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Lend lends one idle slot of a minion, of which this entry is the holder, to a peer. It reports false if there is none.
func (t *Table) Lend(to oleanderline.VMID, m *Minion, now time.Time) (Loan, bool) {
	p, ok := t.peers[to]
	if !ok || !p.lostAt.IsZero() {
		return Loan{}, false
	}
	for i := range m.slots {
		s := &m.slots[i]
		if s.busy || !s.ownUsable() {
			continue
		}
		t.loanSerial++
		s.borrower, s.serial, s.lentUntil, s.expirySeq = to, t.loanSerial, now.Add(t.settings.Loan), 0
		m.recount(now)
		return Loan{Ref: Ref{Minion: m.ID, Slot: i}, Serial: t.loanSerial, For: t.settings.Loan}, true
	}
	return Loan{}, false
}

// HandleReturn ends a loan at the lender. The return of an earlier loan of the slot is ignored.
func (t *Table) HandleReturn(from oleanderline.VMID, loan Loan, now time.Time) {
	m, s := t.slot(loan.Ref)
	if s == nil || s.borrower != from || s.serial != loan.Serial {
		return
	}
	s.borrower = ""
	m.recount(now)
}

// AddLoan records a loan at the borrower; requestedAt is when the borrower sent the loan request. It reports whether the
// loan can be used; otherwise it must be returned.
func (t *Table) AddLoan(lender oleanderline.VMID, loan Loan, requestedAt, now time.Time) bool {
	m, s := t.slot(loan.Ref)
	until := requestedAt.Add(loan.For)
	if p := t.peers[lender]; p != nil && loan.Serial <= p.statement.First {
		// An earlier process of the lender granted the loan, and the current one has no record of it.
		return false
	}
	if s == nil || s.busy || s.lender != "" || s.ownUsable() || s.borrower != "" || !now.Before(until) {
		return false
	}
	s.lender, s.serial, s.borrowedUntil = lender, loan.Serial, until
	m.recount(now)
	return true
}

// ReturnIdle ends the idle loans of a minion at the borrower and appends them to returns. If expiredOnly is set, it ends
// only the expired ones.
func (t *Table) ReturnIdle(m *Minion, expiredOnly bool, now time.Time, returns []Return) []Return {
	for i := range m.slots {
		s := &m.slots[i]
		if s.lender == "" || s.busy || (expiredOnly && now.Before(s.borrowedUntil)) {
			continue
		}
		loan := Loan{Ref: Ref{Minion: m.ID, Slot: i}, Serial: s.serial}
		returns = append(returns, Return{Lender: s.lender, Loan: loan})
		s.lender = ""
		m.recount(now)
	}
	return returns
}

// slot returns the slot that ref names and its minion, or nil if they don't exist.
func (t *Table) slot(ref Ref) (*Minion, *slot) {
	m, ok := t.minions[ref.Minion]
	if !ok || ref.Slot < 0 || ref.Slot >= len(m.slots) {
		return nil, nil
	}
	return m, &m.slots[ref.Slot]
}
