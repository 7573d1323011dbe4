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
	// tickInterval is how often the core sees the time pass while it is not idle.
	tickInterval = 10 * time.Millisecond
	loanQueue    = 256
	loanWorkers  = 8
	// loanTimeout is below the duration of a loan, which the borrower counts from its question.
	loanTimeout = 200 * time.Millisecond
)

// loans lets the core's time pass, and carries its questions for slots to the peers.
type loans struct {
	common     *common.Common
	dispatcher *dispatcher
	members    *members
	peers      *peers
	queue      chan func(context.Context)
	workers    sync.WaitGroup
}

func newLoans(c *common.Common, d *dispatcher, m *members, p *peers) *loans {
	return &loans{common: c, dispatcher: d, members: m, peers: p, queue: make(chan func(context.Context), loanQueue)}
}

func (l *loans) run(ctx context.Context) {
	for range loanWorkers {
		l.workers.Go(func() { l.work(ctx) })
	}
	for ctx.Err() == nil {
		l.tick()
		timer := l.common.Clock.NewTimer(l.dispatcher.rest())
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
		case job := <-l.queue:
			call, cancel := context.WithTimeout(ctx, loanTimeout)
			job(call)
			cancel()
		}
	}
}

func (l *loans) tick() {
	var wants []dispatch.Want
	var returns []slots.Return
	l.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		actions = core.Tick(now, actions)
		wants = core.Wants(now, nil)
		returns = core.Returns(now, nil)
		return actions
	})
	for _, want := range wants {
		l.post(func(ctx context.Context) { l.ask(ctx, want) }, func() { l.borrowed(want, nil, l.common.Clock.Now()) })
	}
	l.giveBack(returns)
}

// post queues a job, or runs instead when the queue is full.
func (l *loans) post(job func(context.Context), instead func()) {
	select {
	case l.queue <- job:
	default:
		instead()
	}
}

func (l *loans) ask(ctx context.Context, want dispatch.Want) {
	asked := l.common.Clock.Now()
	var granted []slots.Loan
	args := LendArgs{From: l.members.self(), Service: want.Service, Count: want.Count}
	if err := l.peers.call(ctx, want.Peer, "Lend", args, &granted); err != nil {
		granted = nil
	}
	l.borrowed(want, granted, asked)
}

func (l *loans) borrowed(want dispatch.Want, granted []slots.Loan, asked time.Time) {
	var returns []slots.Return
	l.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		actions, returns = core.Borrowed(want.Peer, granted, asked, now, actions, nil)
		return actions
	})
	l.giveBack(returns)
}

// giveBack sends loans back. A lost return does no harm, because loans expire.
func (l *loans) giveBack(returns []slots.Return) {
	for _, r := range returns {
		l.post(func(ctx context.Context) {
			args := ReturnArgs{From: l.members.self(), Loan: r.Loan}
			_ = l.peers.call(ctx, r.Lender, "Return", args, &struct{}{})
		}, func() {})
	}
}
