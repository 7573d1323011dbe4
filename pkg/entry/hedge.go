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

// errHedgeLost is the cause with which the slower copy of a hedged request is cancelled.
var errHedgeLost = errors.New("another copy of the hedged request was answered first")

// hedgedExchange sends one idempotent request up to twice. The second copy goes to another minion on a new connection,
// after a delay and within the core's hedge budget. A goroutine is started only for the second copy.
type hedgedExchange struct {
	exchanger   *exchanger
	call        *caller.Call
	request     *pendingRequest
	ctx         context.Context
	cancelFirst context.CancelCauseFunc
	second      chan *attempt

	mu           sync.Mutex
	decided      bool
	secondSent   bool
	cancelSecond context.CancelCauseFunc
}

func (x *exchanger) hedge(ctx context.Context, call *caller.Call, pending *pendingRequest, chosen decision) *attempt {
	firstCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &hedgedExchange{exchanger: x, call: call, request: pending, ctx: ctx, cancelFirst: cancel, second: make(chan *attempt, 1)}
	timer := time.AfterFunc(hedgeDelay(chosen), h.sendSecond)
	a := x.send(firstCtx, call, pending, chosen.Minion, false)
	timer.Stop()
	return h.resolve(a)
}

const (
	// defaultHedgeDelay applies until the core has seen enough answers of the request's class.
	defaultHedgeDelay = 100 * time.Millisecond
	minHedgeDelay     = time.Millisecond
)

func hedgeDelay(chosen decision) time.Duration {
	if chosen.hedgeAfter <= 0 {
		return defaultHedgeDelay
	}
	return max(chosen.hedgeAfter, minHedgeDelay)
}

// sendSecond sends the second copy, unless the first has ended or the core does not allow a second one.
func (h *hedgedExchange) sendSecond() {
	h.mu.Lock()
	if h.decided {
		h.mu.Unlock()
		return
	}
	id, ok := h.exchanger.dispatcher.hedge(h.request)
	if !ok {
		h.mu.Unlock()
		return
	}
	h.secondSent = true
	ctx, cancel := context.WithCancelCause(h.ctx)
	defer cancel(nil)
	h.cancelSecond = cancel
	h.mu.Unlock()

	a := h.exchanger.send(ctx, h.call, h.request, id, true)
	h.mu.Lock()
	lost := h.decided
	if !lost && a.failure == nil {
		h.decided = true
		h.cancelFirst(errHedgeLost)
	}
	h.mu.Unlock()
	if lost {
		h.exchanger.discard(a, true)
		return
	}
	h.second <- a
}

// resolve is called when the first copy has ended. It returns the attempt that decides the request, and waits for the
// second copy if necessary.
func (h *hedgedExchange) resolve(first *attempt) *attempt {
	h.mu.Lock()
	if !h.decided && (first.failure == nil || !h.secondSent) {
		h.decided = true
		if h.secondSent {
			h.cancelSecond(errHedgeLost)
		}
		h.mu.Unlock()
		return first
	}
	h.mu.Unlock()
	// The second copy was answered first, or the first one failed while the second was in flight.
	second := <-h.second
	h.exchanger.discard(first, second.failure == nil)
	return second
}

// discard ends an attempt whose result is not used. If the other copy was answered while this one still waited, its
// connection may no longer deliver data, so that its minion is probed on a new one. Without an answer from the other
// copy there is no time for a probe: the core accepts a retry only after all copies have ended.
func (x *exchanger) discard(a *attempt, otherAnswered bool) {
	if a.failure == nil {
		_ = (&replyBody{exchanger: x, attempt: a}).Close()
		return
	}
	// The result of the request is that of the other copy.
	a.failure.Result = oleanderline.ResultUnknown
	switch a.failure.Cause {
	case minion.CauseCallerGone, minion.CauseTimeout:
		a.failure.Cause = minion.CauseCallerGone
		if otherAnswered {
			a.failure.Cause = minion.CauseTimeout
		}
	}
	x.reportFailure(a, false)
}
