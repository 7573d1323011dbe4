package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// lender is a peer that can be asked for loans.
type lender struct {
	id      oleanderline.VMID
	askedAt time.Time
	asking  bool
}

const (
	// askTimeout ends the wait for an answer that was lost.
	askTimeout = time.Second
	// refusedPause is the time for which a peer is not asked again after it had nothing to lend.
	refusedPause = 20 * time.Millisecond
)

func (c *Core) setLenders(self oleanderline.VMID, members []oleanderline.VMID) {
	var peers []*lender
	for _, id := range members {
		if id == self {
			continue
		}
		i := slices.IndexFunc(c.peers, func(l *lender) bool { return l.id == id })
		if i >= 0 {
			peers = append(peers, c.peers[i])
		} else {
			peers = append(peers, &lender{id: id})
		}
	}
	c.peers = peers
}

// Wants appends the questions for loans that are to be sent to peers now. It is to be called after each Tick. Every
// question ends with one call of Borrowed, also if it failed.
func (c *Core) Wants(now time.Time, wants []Want) []Want {
	if !c.settings.Lending || len(c.peers) == 0 {
		return wants
	}
	for _, s := range c.order {
		missing, long := s.gate.Missing(s.room())
		first := c.rand.IntN(len(c.peers))
		for i := range c.peers {
			if missing <= 0 {
				break
			}
			l := c.peers[(first+i)%len(c.peers)]
			if !l.ready(c.settings.AskEvery, now) {
				continue
			}
			l.asking, l.askedAt = true, now
			count := min(missing, maxLoans)
			wants = append(wants, Want{Peer: l.id, Service: s.id, Count: count, Long: long})
			missing -= count
		}
	}
	return wants
}

// maxLoans bounds the loans of one question, so that several peers share the burden.
const maxLoans = 4

func (l *lender) ready(every time.Duration, now time.Time) bool {
	if l.asking {
		return now.Sub(l.askedAt) >= askTimeout
	}
	return now.Sub(l.askedAt) >= every
}

// Lend answers a peer's question: it appends up to count loans of idle slots of a service, and counts them as lent.
func (c *Core) Lend(want Want, to oleanderline.VMID, now time.Time, loans []slots.Loan) []slots.Loan {
	s, ok := c.services[want.Service]
	if !ok || !c.settings.Lending || s.gate.Len() > 0 {
		return loans
	}
	free := s.free() - max(1, int(math.Ceil(c.settings.Kept*float64(s.held))))
	if want.Long && c.settings.Admit.Lanes {
		free = min(free, s.gate.SpareForLong(s.room()))
	}
	count := min(want.Count, free)
	for tries := s.picker.Len(); count > 0 && tries > 0; tries-- {
		m := s.minions[s.picker.At(c.rand.IntN(s.picker.Len())).Owner]
		loan, ok := c.table.Lend(to, m.slots, now)
		if !ok {
			continue
		}
		s.held--
		loans = append(loans, loan)
		count--
		s.update(m, now)
		if s.picker.Len() == 0 {
			break
		}
	}
	return loans
}

func (s *service) free() int {
	free := 0
	for i := range s.picker.Len() {
		free += s.minions[s.picker.At(i).Owner].slots.Free()
	}
	return free
}

// Borrowed takes in the loans that a peer has granted to a question that was sent at asked; none if the question failed.
// It appends loans that cannot be used to returns.
func (c *Core) Borrowed(
	peer oleanderline.VMID, loans []slots.Loan, asked, now time.Time, actions []Action, returns []slots.Return,
) ([]Action, []slots.Return) {
	for _, l := range c.peers {
		if l.id == peer {
			l.asking = false
			if len(loans) == 0 {
				l.askedAt = now.Add(refusedPause)
			}
		}
	}
	for _, loan := range loans {
		m, ok := c.minions[loan.Minion]
		if !ok || !m.accepts() || !c.table.Borrowed(peer, loan, asked, now) {
			returns = append(returns, slots.Return{Lender: peer, Loan: loan})
			continue
		}
		m.service.held++
		m.service.update(m, now)
	}
	for _, s := range c.order {
		actions = s.serve(now, actions)
	}
	return actions, returns
}

// Returns appends the loans that this entry gives back now: idle ones when it has other free slots, and expired ones. It
// is to be called after each Tick; each is to be sent to its lender.
func (c *Core) Returns(now time.Time, returns []slots.Return) []slots.Return {
	for _, s := range c.order {
		before := len(returns)
		spare := s.gate.Len() == 0 && s.free() > max(1, int(math.Ceil(c.settings.Kept*float64(s.held))))
		for _, m := range s.minions {
			if m != nil {
				returns = c.table.GiveBack(m.slots, !spare && m.accepts(), now, returns)
			}
		}
		if len(returns) > before {
			s.refresh(now)
		}
	}
	return returns
}

// Returned takes back a loan from a peer.
func (c *Core) Returned(peer oleanderline.VMID, loan slots.Loan, now time.Time, actions []Action) []Action {
	c.table.Returned(peer, loan, now)
	m, ok := c.minions[loan.Minion]
	if !ok {
		return actions
	}
	m.service.refresh(now)
	return m.service.serve(now, actions)
}
