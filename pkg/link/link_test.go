package link

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// fakeRunner answers all calls until it is made unreachable, and records the renew calls.
type fakeRunner struct {
	mu          sync.Mutex
	unreachable bool
	renewals    []oleanderline.RenewRuns
}

func (r *fakeRunner) Start(context.Context, oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Stop(context.Context, oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Throttle(context.Context, oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Renew(_ context.Context, order oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	r.mu.Lock()
	r.renewals = append(r.renewals, order)
	r.mu.Unlock()
	time.Sleep(time.Millisecond)
	return oleanderline.WorkerReport{Life: 1, Clock: 1000}, r.answer()
}

func (r *fakeRunner) Close() {}

func (r *fakeRunner) answer() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return fmt.Errorf("no answer: %w", oleanderline.ErrUncertain)
	}
	return nil
}

// makeUnreachable makes all later calls fail without an answer, and drops the recorded renew calls.
func (r *fakeRunner) makeUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = true
	r.renewals = nil
}

// recorder is a link.Events that records the results and signals the other events.
type recorder struct {
	expired chan time.Time // when the leases expired
	results chan plan.Result
	reports chan struct{}
}

func newRecorder() *recorder {
	return &recorder{expired: make(chan time.Time, 100), results: make(chan plan.Result, 100), reports: make(chan struct{}, 1)}
}

func (r *recorder) Report(oleanderline.WorkerID, oleanderline.WorkerReport, time.Time) {
	select {
	case r.reports <- struct{}{}:
	default:
	}
}
func (r *recorder) Result(result plan.Result)                                { r.results <- result }
func (r *recorder) CallFailed(oleanderline.WorkerID, error)                  {}
func (r *recorder) Replaced(oleanderline.WorkerID, time.Time)                {}
func (r *recorder) LeaseExpired(_ oleanderline.WorkerID, expiry plan.Expiry) { r.expired <- expiry.End }
func (r *recorder) Fenced(oleanderline.WorkerID)                             {}

func startLink(t *testing.T, runner oleanderline.Runner, events Events, lease time.Duration) *Link {
	t.Helper()
	l := New("w", runner, common.NewSystemClock(), Settings{
		Term: 1, Lease: lease, Authority: func(time.Time) bool { return true },
	}, events)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

// Guards against tasks that are never considered over although their worker stays unreachable, because every unanswered renew
// call extended the deadline.
func TestLeaseOfUnreachableWorkerExpires(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	startLink(t, runner, events, 50*time.Millisecond)
	<-events.reports
	runner.makeUnreachable()
	select {
	case <-events.expired:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the lease of the unreachable worker never expired")
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for i, renewal := range runner.renewals {
		if i > 1 { // one renew call may have been in flight
			require.Zero(t, renewal.Deadline)
		}
	}
}

// Guards against an order without a result, which would leave its task in the starting state for ever.
func TestEveryOrderHasAResult(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	l := startLink(t, runner, events, time.Second)
	<-events.reports
	runner.makeUnreachable()
	l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w"})
	result := <-events.results
	require.ErrorIs(t, result.Err, oleanderline.ErrUncertain)
	require.Equal(t, startAttempts, result.Attempts)
}

// Guards against an acknowledgement that is repeated to a new incarnation of a worker, where it would cover ends never read.
func TestAcknowledgementIsSentOnce(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	l := startLink(t, runner, events, time.Second)
	<-events.reports
	l.Ack(plan.Acked{Life: 1, Number: 5})
	require.Eventually(t, func() bool { return runner.countAcks(5) == 1 && runner.countAcks(0) > 5 }, 10*time.Second, time.Millisecond)
}

// countAcks returns how many renew calls acknowledged ends up to number. For 0, it returns how many calls without an
// acknowledgement followed the last call that had one.
func (r *fakeRunner) countAcks(number int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, renewal := range r.renewals {
		if renewal.Acked == number {
			count++
		} else if number == 0 {
			count = 0
		}
	}
	return count
}

// Guards against runs of an earlier leader that are considered over too early when their worker becomes unreachable after its
// first answer: they continue until the lease that the earlier leader granted has expired.
func TestFailureAfterFirstAnswerWaitsForTheLease(t *testing.T) {
	const lease = 400 * time.Millisecond
	runner, events := &fakeRunner{}, newRecorder()
	startLink(t, runner, events, lease)
	<-events.reports
	answered := time.Now()
	runner.makeUnreachable()
	leaseEnd := <-events.expired
	require.GreaterOrEqual(t, time.Since(answered), lease)
	require.GreaterOrEqual(t, leaseEnd.Sub(answered), lease, "the expiry that is reported must be the one that was computed")
	require.Less(t, leaseEnd, time.Now())
}

// Guards against tasks that stay assigned to a worker which became unreachable before it answered over its new link: leases
// granted over earlier links expire at the given LeaseEnd.
func TestInheritedLeaseExpires(*testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	runner.makeUnreachable()
	l := New("w", runner, common.NewSystemClock(), Settings{
		Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true }, LeaseEnd: time.Now().Add(50 * time.Millisecond),
	}, events)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	<-events.expired
}

// Guards against a task that stays in the starting state for ever because the link to its worker was closed before its order
// was sent, for example after the worker changed its address.
func TestClosedLinkAnswersItsOrders(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	runner.makeUnreachable() // the worker's clock stays unknown, so that no order is sent
	l := New("w", runner, common.NewSystemClock(), Settings{
		Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true },
	}, events)
	ctx, cancel := context.WithCancel(context.Background())
	l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w"})
	cancel()
	l.Run(ctx)
	require.ErrorIs(t, (<-events.results).Err, oleanderline.ErrUnavailable)
	l.Order(plan.Order{Kind: plan.OrderStop, Worker: "w"})
	require.ErrorIs(t, (<-events.results).Err, oleanderline.ErrUnavailable)
}

// slowRunner fails every start without an answer after a delay.
type slowRunner struct {
	fakeRunner
	delay      time.Duration
	startTimes []time.Time
}

func (r *slowRunner) Start(context.Context, oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	r.startTimes = append(r.startTimes, time.Now())
	time.Sleep(r.delay)
	return 0, oleanderline.ErrUncertain
}

// Guards against a start that is retried seconds after it was decided, when its job may have been cancelled.
func TestStartIsNotTriedAgainLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, events := &slowRunner{delay: 600 * time.Millisecond}, newRecorder()
		l := New("w", runner, common.NewSystemClock(), Settings{
			Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true },
		}, events)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { l.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		decided := time.Now()
		l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w"})
		require.ErrorIs(t, (<-events.results).Err, oleanderline.ErrUncertain)
		require.LessOrEqual(t, runner.startTimes[len(runner.startTimes)-1].Sub(decided), maxOrderAge)
		cancel()
		wg.Wait()
	})
}
