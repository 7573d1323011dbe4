package entry

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

const (
	// tickInterval is the time between two ticks of the core while it is not idle.
	tickInterval  = 10 * time.Millisecond
	loanQueueSize = 256
	loanWorkers   = 8
	// loanTimeout is shorter than a loan, whose duration the borrower counts from its request.
	loanTimeout = 200 * time.Millisecond
)

// loans ticks the decision core and sends its loan requests and loan returns to the peers.
type loans struct {
	common     *common.Common
	dispatcher *dispatcher
	members    *members
	peers      *peers
	queue      chan func(context.Context)
	workers    sync.WaitGroup
}

func newLoans(c *common.Common, d *dispatcher, m *members, p *peers) *loans {
	return &loans{common: c, dispatcher: d, members: m, peers: p, queue: make(chan func(context.Context), loanQueueSize)}
}

func (l *loans) run(ctx context.Context) {
	for range loanWorkers {
		l.workers.Go(func() { l.work(ctx) })
	}
	for ctx.Err() == nil {
		l.tick()
		timer := l.common.Clock.NewTimer(l.dispatcher.tickDelay())
		select {
		case <-ctx.Done():
		case <-timer.C():
		case <-l.dispatcher.wake:
		}
		timer.Stop()
	}
	l.workers.Wait()
}

func (l *loans) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.queue:
			callCtx, cancel := context.WithTimeout(ctx, loanTimeout)
			call(callCtx)
			cancel()
		}
	}
}

func (l *loans) tick() {
	var requests []dispatch.LoanRequest
	var returns []slots.Return
	l.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		actions = core.Tick(now, actions)
		requests = core.LoanRequests(now, nil)
		returns = core.DueReturns(now, nil)
		return actions
	})
	for _, request := range requests {
		l.enqueue(func(ctx context.Context) { l.requestLoan(ctx, request) }, func() { l.recordLoans(request, nil, l.common.Clock.Now()) })
	}
	l.returnLoans(returns)
}

// enqueue queues a call to a peer. If the queue is full, it calls onFull instead.
func (l *loans) enqueue(call func(context.Context), onFull func()) {
	select {
	case l.queue <- call:
	default:
		onFull()
	}
}

func (l *loans) requestLoan(ctx context.Context, request dispatch.LoanRequest) {
	requestedAt := l.common.Clock.Now()
	var granted []slots.Loan
	args := LendArgs{From: l.members.selfID(), Service: request.Service, Count: request.Count}
	if err := l.peers.call(ctx, request.Peer, "Lend", args, &granted); err != nil {
		granted = nil
	}
	l.recordLoans(request, granted, requestedAt)
}

func (l *loans) recordLoans(request dispatch.LoanRequest, granted []slots.Loan, requestedAt time.Time) {
	var returns []slots.Return
	l.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		actions, returns = core.AddLoans(request.Peer, granted, requestedAt, now, actions, nil)
		return actions
	})
	l.returnLoans(returns)
}

// returnLoans returns loans to their lenders. A lost return does no harm, because loans expire.
func (l *loans) returnLoans(returns []slots.Return) {
	for _, r := range returns {
		l.enqueue(func(ctx context.Context) {
			args := ReturnArgs{From: l.members.selfID(), Loan: r.Loan}
			_ = l.peers.call(ctx, r.Lender, "Return", args, &struct{}{})
		}, func() {})
	}
}
