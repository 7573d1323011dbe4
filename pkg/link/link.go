// Package link carries the calls of a leader to one worker: one goroutine holds the worker's runs and takes its reports,
// another carries out orders one at a time.
package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

const (
	queueLength = 512 // orders
	// slowClock is the rate of a worker's clock that may run up to 2% slow.
	slowClock = 0.98
	// clockSlack covers the rounding of a worker's clock and late timers.
	clockSlack = 50 * time.Millisecond
	retryPause = 100 * time.Millisecond
	// unackedPause spaces holds while ends are not recorded yet, because such a hold is answered at once.
	unackedPause = 250 * time.Millisecond
	ackWait      = 80 * time.Millisecond
	startTries   = 3
	otherTries   = 2
	// orderAge is how old an order may be when it is sent, also again. One whose turn comes later counts as not sent.
	orderAge     = time.Second
	lapsedRepeat = time.Second
)

// Settings of a Link.
type Settings struct {
	Term  oleanderline.Term
	Lease time.Duration // from now to the deadline that an order gives
	Wait  time.Duration // how long a hold waits for an end
	// Authority reports whether orders may be given now.
	Authority func(now time.Time) bool
	// LeaseEnd is when all has lapsed that was ordered before over another link; zero if there was none.
	LeaseEnd time.Time
	// Acked tells which ends are recorded already.
	Acked plan.Acked
}

// Events takes what a link learns. The methods may block.
type Events interface {
	Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent time.Time)
	Result(result plan.Result)
	Silent(id oleanderline.WorkerID, err error)
	Lapsed(id oleanderline.WorkerID)
	Fenced(id oleanderline.WorkerID)
}

// Link is the leader's side of one worker.
type Link struct {
	id       oleanderline.WorkerID
	runner   oleanderline.Runner
	clock    oleanderline.Clock
	settings Settings
	events   Events
	orders   chan queued
	acks     chan struct{}

	mu       sync.Mutex
	closed   bool
	ready    chan struct{} // closed when the worker's clock is known
	known    bool          // whether the worker's clock is known
	readAt   time.Time
	reading  oleanderline.WorkerTime
	leaseEnd time.Time // when everything on the worker has lapsed at the latest
	life     oleanderline.WorkerLife
	acked    int64
	told     int64 // the highest acknowledgement that was answered
	seen     int64
}

type queued struct {
	order plan.Order
	at    time.Time
}

// New returns a link that does nothing before Run.
func New(id oleanderline.WorkerID, runner oleanderline.Runner, clock oleanderline.Clock, settings Settings, events Events) *Link {
	return &Link{
		id: id, runner: runner, clock: clock, settings: settings, events: events,
		orders: make(chan queued, queueLength), acks: make(chan struct{}, 1), ready: make(chan struct{}),
		leaseEnd: settings.LeaseEnd,
	}
}

// Run serves the worker until the context ends. Every order has a result by then.
func (l *Link) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { l.hold(ctx) })
	duties.Go(func() { l.carryOut(ctx) })
	duties.Wait()
	l.close()
	l.runner.Close()
}

// close gives up the orders whose turn has not come.
func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for {
		select {
		case next := <-l.orders:
			l.events.Result(notSent(next.order))
		default:
			return
		}
	}
}

func notSent(order plan.Order) plan.Result {
	return plan.Result{Order: order, Err: oleanderline.ErrUnavailable}
}

// Order queues an order that was decided now.
func (l *Link) Order(order plan.Order) { l.OrderAt(order, l.clock.Now()) }

// OrderAt queues an order that was decided at a time. If the queue is full or the link is closed, the order counts as not
// sent.
func (l *Link) OrderAt(order plan.Order, at time.Time) {
	if !l.enqueue(queued{order: order, at: at}) {
		go l.events.Result(notSent(order))
	}
}

func (l *Link) enqueue(next queued) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.orders <- next:
		return true
	default:
		return false
	}
}

// Ack tells which ends are recorded.
func (l *Link) Ack(acked plan.Acked) {
	l.mu.Lock()
	if acked.Life == l.life {
		l.acked = max(l.acked, acked.Number)
	}
	l.mu.Unlock()
	select {
	case l.acks <- struct{}{}:
	default:
	}
}

func (l *Link) hold(ctx context.Context) {
	var lapsedAt time.Time
	silent := false
	for ctx.Err() == nil {
		now := l.clock.Now()
		if !l.settings.Authority(now) {
			l.sleep(ctx, retryPause)
			continue
		}
		order := l.nextHold(now, silent)
		report, err := l.runner.Hold(ctx, order)
		silent = err != nil
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			l.learn(report, order.Acked)
			l.events.Report(l.id, report, now)
			l.waitForAck(ctx)
			continue
		case isFenced(err):
			l.events.Fenced(l.id)
			return
		}
		l.events.Silent(l.id, err)
		now = l.clock.Now()
		if l.lapsed(now) && now.Sub(lapsedAt) >= lapsedRepeat {
			lapsedAt = now
			l.events.Lapsed(l.id)
		}
		l.sleep(ctx, retryPause)
	}
}

// nextHold returns the next hold. One that follows a failed call only asks: extending the deadline of a worker that does
// not answer would put off the time when its runs are surely over.
func (l *Link) nextHold(now time.Time, silent bool) oleanderline.HoldRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := oleanderline.HoldRuns{Life: l.life, Term: l.settings.Term}
	if silent {
		return order
	}
	if l.acked > l.told {
		order.Acked = l.acked
	}
	if l.known {
		order.Deadline = l.deadline(now)
	}
	if l.known && l.acked >= l.seen {
		order.Wait = l.settings.Wait
	}
	return order
}

// deadline returns a deadline on the worker's clock, and notes until when it may last. The caller holds the mutex.
func (l *Link) deadline(now time.Time) oleanderline.WorkerTime {
	span := now.Sub(l.readAt) + l.settings.Lease
	l.leaseEnd = common.Later(l.leaseEnd, l.readAt.Add(LapseAfter(span)))
	return l.reading.Add(span)
}

// LapseAfter returns the longest time that a worker may take until a lease ends that lasts span on its own clock.
func LapseAfter(span time.Duration) time.Duration {
	return time.Duration(float64(span)/slowClock) + clockSlack
}

func (l *Link) lapsed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.leaseEnd.IsZero() && now.After(l.leaseEnd)
}

// learn takes in the worker's clock and the ends that it listed, in answer to a hold that acknowledged ends up to told. An
// acknowledgement is not repeated once it is answered: in a new life of the worker, whose ends are numbered anew, it would
// cover ends that were never read.
func (l *Link) learn(report oleanderline.WorkerReport, told int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = max(l.told, told)
	if report.Life != l.life {
		l.life, l.acked, l.seen, l.told = report.Life, 0, 0, 0
		if before := l.settings.Acked; before.Life == report.Life {
			l.acked = before.Number
		}
	}
	for _, end := range report.Ended {
		l.seen = max(l.seen, end.Number)
	}
	l.readClock(report.Clock)
}

func (l *Link) readClock(clock oleanderline.WorkerTime) {
	now := l.clock.Now()
	if !l.known {
		// The worker has refused earlier terms since it answered, so what they have ordered lapses a lease later at the latest.
		l.leaseEnd = common.Later(l.leaseEnd, now.Add(LapseAfter(l.settings.Lease)))
		close(l.ready)
	}
	l.known, l.readAt, l.reading = true, now, clock
}

// waitForAck gives the records of the newest ends a moment, so that the next hold acknowledges them.
func (l *Link) waitForAck(ctx context.Context) {
	l.mu.Lock()
	open := l.acked < l.seen
	l.mu.Unlock()
	if !open {
		return
	}
	timer := l.clock.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-l.acks:
	case <-timer.C():
		l.sleep(ctx, unackedPause)
	case <-ctx.Done():
	}
}

func (l *Link) sleep(ctx context.Context, d time.Duration) {
	common.Sleep(ctx, l.clock, d)
}

func (l *Link) carryOut(ctx context.Context) {
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
			result, fenced := l.try(ctx, next)
			if fenced {
				l.events.Fenced(l.id)
				return
			}
			l.events.Result(result)
		}
	}
}

// try sends an order until it is answered. Every call of a start carries the same deadline.
func (l *Link) try(ctx context.Context, next queued) (result plan.Result, fenced bool) {
	result = plan.Result{Order: next.order, Err: oleanderline.ErrUnavailable}
	now := l.clock.Now()
	if now.Sub(next.at) > orderAge {
		return result, false
	}
	l.mu.Lock()
	deadline := l.deadline(now)
	l.mu.Unlock()
	tries := otherTries
	if next.order.Kind == plan.OrderStart {
		tries = startTries
	}
	for result.Attempts < tries && ctx.Err() == nil {
		if now := l.clock.Now(); !l.settings.Authority(now) || now.Sub(next.at) > orderAge {
			break
		}
		result.Attempts++
		clock, err := l.call(ctx, next.order, deadline)
		result.Err = err
		if err == nil {
			l.mu.Lock()
			l.readClock(clock)
			l.mu.Unlock()
			return result, false
		}
		if isFenced(err) {
			return result, true
		}
		if errors.As(err, new(*oleanderline.RefusedError)) {
			return result, false
		}
		if errors.Is(err, oleanderline.ErrUnavailable) {
			l.sleep(ctx, retryPause)
		}
	}
	return result, false
}

func (l *Link) call(ctx context.Context, order plan.Order, deadline oleanderline.WorkerTime) (oleanderline.WorkerTime, error) {
	switch order.Kind {
	case plan.OrderStart:
		return l.runner.Start(ctx, oleanderline.StartRun{
			Key: order.Key, Payload: order.Payload, Deadline: deadline, Term: l.settings.Term,
			Checkpoint: order.Checkpoint, Ticket: order.Ticket,
		})
	case plan.OrderStop:
		return l.runner.Stop(ctx, oleanderline.StopRun{Key: order.Key, Term: l.settings.Term})
	}
	return l.runner.Pace(ctx, oleanderline.PaceRun{Key: order.Key, Percent: order.Percent, Term: l.settings.Term})
}

func isFenced(err error) bool {
	var refused *oleanderline.RefusedError
	return errors.As(err, &refused) && refused.Reason == oleanderline.RefusedTerm
}
