package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

// errHedged is the reason for which the slower copy of a hedged request is ended.
var errHedged = errors.New("another copy was answered first")

// race sends one idempotent request up to twice. The second copy goes to another minion on a new connection, after a
// delay and within the core's hedge budget. A goroutine is started only for a second copy.
type race struct {
	exchanger   *exchanger
	call        *caller.Call
	ticket      *ticket
	ctx         context.Context
	cancelFirst context.CancelCauseFunc
	second      chan *attempt

	mu           sync.Mutex
	decided      bool
	launched     bool
	cancelSecond context.CancelCauseFunc
}

func (x *exchanger) race(ctx context.Context, call *caller.Call, t *ticket, sent decision) *attempt {
	first, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &race{exchanger: x, call: call, ticket: t, ctx: ctx, cancelFirst: cancel, second: make(chan *attempt, 1)}
	timer := time.AfterFunc(hedgeDelay(sent), r.launch)
	a := x.send(first, call, t, sent.Minion, false)
	timer.Stop()
	return r.settle(a)
}

const (
	// unlearnedHedge applies while the core has not seen enough answers of the class.
	unlearnedHedge = 100 * time.Millisecond
	leastHedge     = time.Millisecond
)

func hedgeDelay(sent decision) time.Duration {
	if sent.hedgeAfter <= 0 {
		return unlearnedHedge
	}
	return max(sent.hedgeAfter, leastHedge)
}

// launch sends the second copy.
func (r *race) launch() {
	r.mu.Lock()
	if r.decided {
		r.mu.Unlock()
		return
	}
	id, ok := r.exchanger.dispatcher.hedge(r.ticket)
	if !ok {
		r.mu.Unlock()
		return
	}
	r.launched = true
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	r.cancelSecond = cancel
	r.mu.Unlock()

	a := r.exchanger.send(ctx, r.call, r.ticket, id, true)
	r.mu.Lock()
	lost := r.decided
	if !lost && a.failure == nil {
		r.decided = true
		r.cancelFirst(errHedged)
	}
	r.mu.Unlock()
	if lost {
		r.exchanger.drop(a, true)
		return
	}
	r.second <- a
}

// settle takes the end of the first copy and returns the attempt that counts.
func (r *race) settle(first *attempt) *attempt {
	r.mu.Lock()
	if !r.decided && (first.failure == nil || !r.launched) {
		r.decided = true
		if r.launched {
			r.cancelSecond(errHedged)
		}
		r.mu.Unlock()
		return first
	}
	r.mu.Unlock()
	// The second copy has won, or it is the only one left.
	second := <-r.second
	r.exchanger.drop(first, second.failure == nil)
	return second
}

// drop ends an attempt whose result is not needed. A copy that was still silent may have a silent connection, so that
// its minion is asked on a fresh one. Without an answer from the other copy there is no time for that: the core takes a
// retry only when all copies have ended.
func (x *exchanger) drop(a *attempt, answered bool) {
	if a.failure == nil {
		_ = (&replyBody{exchanger: x, attempt: a}).Close()
		return
	}
	// The other copy decides what becomes of the request.
	a.failure.Result = oleanderline.ResultUnknown
	switch a.failure.Cause {
	case minion.CauseCaller, minion.CauseTimeout:
		a.failure.Cause = minion.CauseCaller
		if answered {
			a.failure.Cause = minion.CauseTimeout
		}
	}
	x.finish(a, false)
}
