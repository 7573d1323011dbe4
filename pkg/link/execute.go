package link

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// errRestarted is the result of a start that was not sent because its worker has restarted since it was decided.
var errRestarted = fmt.Errorf("the worker has restarted: %w", oleanderline.ErrUnavailable)

func (l *Link) orderLoop(ctx context.Context) {
	select {
	case <-l.ready: // an order needs a deadline on the worker's clock
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-l.orders:
			began := l.clock.Now()
			result, fenced := l.execute(ctx, next)
			result.Took = l.clock.Now().Sub(began)
			if fenced {
				l.events.Fenced(l.id)
				return
			}
			l.events.Result(result)
		}
	}
}

// errOutOfService is the result of a start that was not sent because the worker's failure domain is out of service.
var errOutOfService = fmt.Errorf("the failure domain of the worker is out of service: %w", oleanderline.ErrUnavailable)

// isOutOfService reports whether an order is a start in a failure domain that is out of service. It is asked before each call, because
// the order may have waited, or the request may be known here and not yet to the leader.
func (l *Link) isOutOfService(order plan.Order) bool {
	return order.Kind == plan.OrderStart && l.settings.InService != nil && !l.settings.InService(order.Domain)
}

// isForEarlierIncarnation reports whether an order is a start for an incarnation of the worker other than the one that has reported last.
// Such a start is not sent: the new incarnation does not know which leaders and which runs the earlier one refused, so it would carry
// out a start of a leader whose successor has started the task elsewhere.
func (l *Link) isForEarlierIncarnation(order plan.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return order.Kind == plan.OrderStart && order.Life != 0 && order.Life != l.incarnation
}

// execute sends an order until it is answered, up to a number of attempts. All attempts of a start carry the same deadline.
func (l *Link) execute(ctx context.Context, next queuedOrder) (result plan.Result, fenced bool) {
	result = plan.Result{Order: next.order, Err: oleanderline.ErrUnavailable}
	now := l.clock.Now()
	if now.Sub(next.decidedAt) > maxOrderAge {
		return result, false
	}
	if l.isForEarlierIncarnation(next.order) {
		result.Err = errRestarted
		return result, false
	}
	if l.isOutOfService(next.order) {
		result.Err = errOutOfService
		return result, false
	}
	deadline, incarnation := l.orderDeadline(next.order.Kind, now)
	maxAttempts := otherAttempts
	if next.order.Kind == plan.OrderStart {
		maxAttempts = startAttempts
	}
	for result.Attempts < maxAttempts && ctx.Err() == nil {
		if now := l.clock.Now(); !l.settings.Authority(now) || now.Sub(next.decidedAt) > maxOrderAge {
			break
		}
		if l.isForEarlierIncarnation(next.order) || l.isOutOfService(next.order) {
			break
		}
		result.Attempts++
		if next.order.Kind == plan.OrderStart {
			l.noteSent(now)
		}
		clock, err := l.call(ctx, next.order, incarnation, deadline)
		result.Err = err
		if err == nil {
			l.applyAnswer(next.order.Kind, clock, incarnation)
			return result, false
		}
		if isFenced(err) {
			return result, true
		}
		if errors.As(err, new(*oleanderline.RefusedError)) {
			return result, false
		}
		if next.order.Kind == plan.OrderStart && !errors.Is(err, oleanderline.ErrUnavailable) {
			l.noteUnanswered(true)
		}
		if errors.Is(err, oleanderline.ErrUnavailable) {
			l.sleep(ctx, retryDelay)
		}
	}
	return result, false
}

// orderDeadline returns the deadline of an order and the incarnation whose clock it is on. Only a start has a deadline: a stop or throttle
// extends no lease, so it must not postpone the time at which the leases count as expired either.
func (l *Link) orderDeadline(kind plan.OrderKind, now time.Time) (oleanderline.WorkerTime, oleanderline.WorkerIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind != plan.OrderStart {
		return 0, l.incarnation
	}
	return l.deadline(now), l.incarnation
}

// applyAnswer updates the worker's clock from the answer to an order for an incarnation. If a later incarnation has reported since,
// the answer may be of either one: its clock is not used, and a start may have carried a deadline on the earlier clock.
func (l *Link) applyAnswer(kind plan.OrderKind, clock oleanderline.WorkerTime, incarnation oleanderline.WorkerIncarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == incarnation {
		l.updateClock(clock)
		return
	}
	if kind == plan.OrderStart {
		l.restart.sent(l.clock.Now())
		l.restart.extend()
	}
}

// noteSent records that a call with a deadline is about to be sent.
func (l *Link) noteSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart.sent(now)
}

// noteUnanswered records that a call with a deadline has ended without an answer. start is whether it was a start.
func (l *Link) noteUnanswered(start bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restart.unanswered(l.clock.Now(), start)
}

func (l *Link) call(ctx context.Context, order plan.Order, incarnation oleanderline.WorkerIncarnation, deadline oleanderline.WorkerTime) (oleanderline.WorkerTime, error) {
	switch order.Kind {
	case plan.OrderStart:
		return l.runner.Start(ctx, oleanderline.StartRun{
			Key: order.Key, Payload: order.Payload, Incarnation: incarnation, Deadline: deadline, Term: l.settings.Term,
			Checkpoint: order.Checkpoint, Ticket: order.Ticket,
		})
	case plan.OrderStop:
		return l.runner.Stop(ctx, oleanderline.StopRun{Key: order.Key, Term: l.settings.Term})
	}
	return l.runner.Throttle(ctx, oleanderline.ThrottleRun{Key: order.Key, Percent: order.Percent, Term: l.settings.Term})
}

func isFenced(err error) bool { return isRefusal(err, oleanderline.RefusedTerm) }

// isReplaced reports whether a call was refused because the worker's address belongs to another incarnation.
func isReplaced(err error) bool { return isRefusal(err, oleanderline.RefusedIncarnation) }

func isRefusal(err error, reason oleanderline.RefusalReason) bool {
	var refused *oleanderline.RefusedError
	return errors.As(err, &refused) && refused.Reason == reason
}
