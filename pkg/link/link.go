// Package link sends the calls of a leader to one worker. One goroutine sends renew calls, which renew the leases of the worker's
// runs and return its reports; another executes orders one at a time.
package link

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

const (
	queueLength = 512 // orders
	// minClockRate is the lowest rate of a worker's clock, which may run up to 2% slow.
	minClockRate = 0.98
	// clockSlack covers rounding of a worker's clock and timers that fire late.
	clockSlack = 50 * time.Millisecond
	retryDelay = 100 * time.Millisecond
	// unackedDelay is the pause between renew calls while reported ends are not recorded yet, because the worker answers such a
	// call at once.
	unackedDelay  = 250 * time.Millisecond
	ackTimeout    = 80 * time.Millisecond
	startAttempts = 3
	otherAttempts = 2
	// maxOrderAge is the highest age of an order when it is sent or sent again. An order that is older at its turn counts as
	// not sent.
	maxOrderAge = time.Second
	// expiryRepeatInterval is the interval at which LeaseExpired is repeated while calls fail.
	expiryRepeatInterval = time.Second
)

// Settings of a Link.
type Settings struct {
	Term      oleanderline.Term
	Lease     time.Duration // how far ahead of the current time the deadline of a call is
	RenewWait time.Duration // how long the worker may delay its answer to a renew call until a run ends
	// MaxLease is the longest lease that the worker accepts. A deadline on the clock of an earlier incarnation is cut to it.
	MaxLease time.Duration
	// Authority reports whether calls may be sent at a given time.
	Authority func(now time.Time) bool
	// InService reports whether tasks may start in a failure domain now. It is nil if there are no requests to evacuate domains.
	InService func(domain oleanderline.DomainID) bool
	// LeaseEnd is the latest expiry of leases granted earlier over other links; zero if there were none.
	LeaseEnd time.Time
	// Acked tells which ends of runs are recorded already.
	Acked plan.Acked
}

// Events receives what a link learns about its worker. The methods may block.
type Events interface {
	// Report passes on the answer to a renew call that was sent at sent.
	Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent time.Time)
	// Result passes on the outcome of an order.
	Result(result plan.Result)
	// CallFailed reports that a renew call failed.
	CallFailed(id oleanderline.WorkerID, err error)
	// Replaced reports that another incarnation has answered a renew call that was sent at sent, and has refused it.
	Replaced(id oleanderline.WorkerID, sent time.Time)
	// LeaseExpired reports that renew calls fail and that leases of runs on the worker have expired. It is repeated while calls
	// fail.
	LeaseExpired(id oleanderline.WorkerID, expiry plan.Expiry)
	// Fenced reports that the worker has seen a newer term.
	Fenced(id oleanderline.WorkerID)
}

// Link is the leader's side of the connection to one worker.
type Link struct {
	id        oleanderline.WorkerID
	runner    oleanderline.Runner
	clock     oleanderline.Clock
	settings  Settings
	events    Events
	orders    chan queuedOrder
	ackSignal chan struct{}

	mu          sync.Mutex
	closed      bool
	ready       chan struct{} // closed once the worker's clock is known
	clockKnown  bool
	clockReadAt time.Time
	workerClock oleanderline.WorkerTime // at clockReadAt
	leaseEnd    time.Time               // the latest expiry of the leases on the worker
	restart     restartBound
	incarnation oleanderline.WorkerIncarnation
	acked       int64 // the highest end that is recorded
	answeredAck int64 // the highest acknowledgement in a renew call that was answered
	lastEnd     int64 // the highest end that the worker has reported
}

type queuedOrder struct {
	order     plan.Order
	decidedAt time.Time
}

// New returns a link. It makes no calls before Run.
func New(id oleanderline.WorkerID, runner oleanderline.Runner, clock oleanderline.Clock, settings Settings, events Events) *Link {
	return &Link{
		id: id, runner: runner, clock: clock, settings: settings, events: events,
		orders: make(chan queuedOrder, queueLength), ackSignal: make(chan struct{}, 1), ready: make(chan struct{}),
		leaseEnd: settings.LeaseEnd, restart: restartBound{maxLease: settings.MaxLease},
	}
}

// Run serves the worker until the context ends. Every order has a result by then, except one that the worker has refused because
// of a newer term.
func (l *Link) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.renewLoop(ctx) })
	wg.Go(func() { l.orderLoop(ctx) })
	wg.Wait()
	l.close()
	l.runner.Close()
}

// close rejects new orders, and reports queued orders as not sent.
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

// OrderAt queues an order that was decided at the given time. If the queue is full or the link is closed, its result is that it
// was not sent.
func (l *Link) OrderAt(order plan.Order, decidedAt time.Time) {
	if !l.enqueue(queuedOrder{order: order, decidedAt: decidedAt}) {
		go l.events.Result(notSent(order))
	}
}

func (l *Link) enqueue(next queuedOrder) bool {
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

// Ack sets which ends are recorded, so that the next renew call acknowledges them to the worker.
func (l *Link) Ack(acked plan.Acked) {
	l.mu.Lock()
	if acked.Life == l.incarnation {
		l.acked = max(l.acked, acked.Number)
	}
	l.mu.Unlock()
	select {
	case l.ackSignal <- struct{}{}:
	default:
	}
}

func (l *Link) renewLoop(ctx context.Context) {
	var reported plan.Expiry // the last reported expiry
	var reportedAt time.Time
	failing := false
	for ctx.Err() == nil {
		now := l.clock.Now()
		if !l.settings.Authority(now) {
			l.sleep(ctx, retryDelay)
			continue
		}
		order := l.nextRenewal(now, failing)
		report, err := l.runner.Renew(ctx, order)
		failing = err != nil
		if err != nil && order.Deadline != 0 {
			l.noteUnanswered(false)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			l.applyReport(report, order.Acked, now)
			l.events.Report(l.id, report, now)
			l.waitForAck(ctx)
			continue
		case isFenced(err):
			l.events.Fenced(l.id)
			return
		}
		l.events.CallFailed(l.id, err)
		if isReplaced(err) {
			l.events.Replaced(l.id, now)
		}
		now = l.clock.Now()
		expiry, expired := l.expired(now)
		if expired && (expiry != reported || now.Sub(reportedAt) >= expiryRepeatInterval) {
			reported, reportedAt = expiry, now
			l.events.LeaseExpired(l.id, expiry)
		}
		l.sleep(ctx, retryDelay)
	}
}

// nextRenewal returns the next renew call. After a failed call it only requests a report: extending the deadline of a worker that
// does not answer would postpone the time at which its runs are certainly over.
func (l *Link) nextRenewal(now time.Time, failing bool) oleanderline.RenewRuns {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := oleanderline.RenewRuns{Incarnation: l.incarnation, Term: l.settings.Term}
	if failing {
		return order
	}
	if l.acked > l.answeredAck {
		order.Acked = l.acked
	}
	if l.clockKnown {
		order.Deadline = l.deadline(now)
		l.restart.sent(now)
	}
	if l.clockKnown && l.acked >= l.lastEnd {
		order.Wait = l.settings.RenewWait
	}
	return order
}

// waitForAck waits up to ackTimeout until the newest ends are recorded, so that the next renew call acknowledges them. If they are
// not, it also waits for unackedDelay.
func (l *Link) waitForAck(ctx context.Context) {
	l.mu.Lock()
	unacked := l.acked < l.lastEnd
	l.mu.Unlock()
	if !unacked {
		return
	}
	timer := l.clock.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-l.ackSignal:
	case <-timer.C():
		l.sleep(ctx, unackedDelay)
	case <-ctx.Done():
	}
}

func (l *Link) sleep(ctx context.Context, d time.Duration) {
	common.Sleep(ctx, l.clock, d)
}
