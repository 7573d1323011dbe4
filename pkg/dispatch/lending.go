package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// lender is a peer that can lend slots.
type lender struct {
	id          oleanderline.VMID
	requestedAt time.Time
	pending     bool // a loan request has not been answered
}

const (
	// loanRequestTimeout is the time after which the reply to a loan request counts as lost.
	loanRequestTimeout = time.Second
	// loanRetryDelay is the time for which a peer gets no loan request after it had no slot to lend.
	loanRetryDelay = 20 * time.Millisecond
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

// LoanRequests appends the loan requests to send to peers now. Call it after each Tick. Call AddLoans once for each loan
// request, also if the request failed.
func (c *Core) LoanRequests(now time.Time, requests []LoanRequest) []LoanRequest {
	if !c.settings.Lending || len(c.peers) == 0 {
		return requests
	}
	for _, s := range c.serviceList {
		shortfall, long := s.queue.Shortfall(s.slotUsage())
		first := c.rand.IntN(len(c.peers))
		for i := range c.peers {
			if shortfall <= 0 {
				break
			}
			l := c.peers[(first+i)%len(c.peers)]
			if !l.mayRequest(c.settings.LoanRequestInterval, now) {
				continue
			}
			l.pending, l.requestedAt = true, now
			count := min(shortfall, maxLoansPerRequest)
			requests = append(requests, LoanRequest{Peer: l.id, Service: s.id, Count: count, Long: long})
			shortfall -= count
		}
	}
	return requests
}

// maxLoansPerRequest limits the loans of one request, so that loans are spread over several peers.
const maxLoansPerRequest = 4

// mayRequest reports whether a loan request may be sent to the peer now.
func (l *lender) mayRequest(interval time.Duration, now time.Time) bool {
	if l.pending {
		return now.Sub(l.requestedAt) >= loanRequestTimeout
	}
	return now.Sub(l.requestedAt) >= interval
}

// Lend handles a peer's loan request: it lends up to request.Count idle slots of a service and appends the loans.
func (c *Core) Lend(request LoanRequest, to oleanderline.VMID, now time.Time, loans []slots.Loan) []slots.Loan {
	s, ok := c.services[request.Service]
	if !ok || !c.settings.Lending || s.queue.Len() > 0 {
		return loans
	}
	free := s.free() - max(1, int(math.Ceil(c.settings.LendingReserve*float64(s.capacity))))
	if request.Long && c.settings.Admit.Lanes {
		free = min(free, s.queue.SpareForLong(s.slotUsage()))
	}
	count := min(request.Count, free)
	for attempts := s.picker.Len(); count > 0 && attempts > 0; attempts-- {
		m := s.minions[s.picker.At(c.rand.IntN(s.picker.Len())).MinionIndex]
		loan, ok := c.table.Lend(to, m.slots, now)
		if !ok {
			continue
		}
		s.capacity--
		loans = append(loans, loan)
		count--
		s.updateAvailability(m, now)
		if s.picker.Len() == 0 {
			break
		}
	}
	return loans
}

// free returns the number of free slots at the available minions.
func (s *service) free() int {
	free := 0
	for i := range s.picker.Len() {
		free += s.minions[s.picker.At(i).MinionIndex].slots.Free()
	}
	return free
}

// AddLoans processes the reply of a peer to the loan request that was sent at requestedAt; loans is empty if the request
// failed. It appends loans that cannot be used to returns.
func (c *Core) AddLoans(
	peer oleanderline.VMID, loans []slots.Loan, requestedAt, now time.Time, actions []Action, returns []slots.Return,
) ([]Action, []slots.Return) {
	for _, l := range c.peers {
		if l.id == peer {
			l.pending = false
			if len(loans) == 0 {
				l.requestedAt = now.Add(loanRetryDelay)
			}
		}
	}
	for _, loan := range loans {
		m, ok := c.minions[loan.Minion]
		if !ok || !m.accepts() || !c.table.AddLoan(peer, loan, requestedAt, now) {
			returns = append(returns, slots.Return{Lender: peer, Loan: loan})
			continue
		}
		m.service.capacity++
		m.service.updateAvailability(m, now)
	}
	for _, s := range c.serviceList {
		actions = s.dispatchQueued(now, actions)
	}
	return actions, returns
}

// DueReturns appends the borrowed slots to return to their lenders now: expired loans, and idle loans if enough other slots
// are free. Call it after each Tick.
func (c *Core) DueReturns(now time.Time, returns []slots.Return) []slots.Return {
	for _, s := range c.serviceList {
		before := len(returns)
		spare := s.queue.Len() == 0 && s.free() > max(1, int(math.Ceil(c.settings.LendingReserve*float64(s.capacity))))
		for _, m := range s.minions {
			if m != nil {
				returns = c.table.ReturnIdle(m.slots, !spare && m.accepts(), now, returns)
			}
		}
		if len(returns) > before {
			s.refresh(now)
		}
	}
	return returns
}

// HandleReturn processes the return of a loan by a peer.
func (c *Core) HandleReturn(peer oleanderline.VMID, loan slots.Loan, now time.Time, actions []Action) []Action {
	c.table.HandleReturn(peer, loan, now)
	m, ok := c.minions[loan.Minion]
	if !ok {
		return actions
	}
	m.service.refresh(now)
	return m.service.dispatchQueued(now, actions)
}
