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

// fakeRunner answers until it is silenced, and keeps the deadlines that it was sent.
type fakeRunner struct {
	mu     sync.Mutex
	silent bool
	holds  []oleanderline.HoldRuns
}

func (r *fakeRunner) Start(context.Context, oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Stop(context.Context, oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Pace(context.Context, oleanderline.PaceRun) (oleanderline.WorkerTime, error) {
	return 0, r.answer()
}

func (r *fakeRunner) Hold(_ context.Context, order oleanderline.HoldRuns) (oleanderline.WorkerReport, error) {
	r.mu.Lock()
	r.holds = append(r.holds, order)
	r.mu.Unlock()
	time.Sleep(time.Millisecond)
	return oleanderline.WorkerReport{Life: 1, Clock: 1000}, r.answer()
}

func (r *fakeRunner) Close() {}

func (r *fakeRunner) answer() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return fmt.Errorf("no answer: %w", oleanderline.ErrUncertain)
	}
	return nil
}

func (r *fakeRunner) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = true
	r.holds = nil
}

// recorder keeps what a link tells.
type recorder struct {
	lapsed  chan struct{}
	results chan plan.Result
	reports chan struct{}
}

func newRecorder() *recorder {
	return &recorder{lapsed: make(chan struct{}, 100), results: make(chan plan.Result, 100), reports: make(chan struct{}, 1)}
}

func (r *recorder) Report(oleanderline.WorkerID, oleanderline.WorkerReport, time.Time) {
	select {
	case r.reports <- struct{}{}:
	default:
	}
}
func (r *recorder) Result(result plan.Result)           { r.results <- result }
func (r *recorder) Silent(oleanderline.WorkerID, error) {}
func (r *recorder) Lapsed(oleanderline.WorkerID)        { r.lapsed <- struct{}{} }
func (r *recorder) Fenced(oleanderline.WorkerID)        {}

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

// Guards against a worker that stays silent for good and whose tasks are never taken as over, because every unanswered
// hold moved the deadline on.
func TestSilentWorkerLapses(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	startLink(t, runner, events, 50*time.Millisecond)
	<-events.reports
	runner.silence()
	select {
	case <-events.lapsed:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the worker never lapsed")
	}
	runner.mu.Lock()
	defer runner.mu.Unlock()
	for i, hold := range runner.holds {
		if i > 1 { // one hold may have been under way
			require.Zero(t, hold.Deadline)
		}
	}
}

// Guards against an order without any result, which would leave its task starting for ever.
func TestEveryOrderHasAResult(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	l := startLink(t, runner, events, time.Second)
	<-events.reports
	runner.silence()
	l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w"})
	result := <-events.results
	require.ErrorIs(t, result.Err, oleanderline.ErrUncertain)
	require.Equal(t, startTries, result.Attempts)
}

// Guards against an acknowledgement that is repeated to a new life of a worker, where it would cover ends never read.
func TestAcknowledgementIsSentOnce(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	l := startLink(t, runner, events, time.Second)
	<-events.reports
	l.Ack(plan.Acked{Life: 1, Number: 5})
	require.Eventually(t, func() bool { return runner.acks(5) == 1 && runner.acks(0) > 5 }, 10*time.Second, time.Millisecond)
}

// acks counts the holds that acknowledged ends up to a number, since the last of them for 0.
func (r *fakeRunner) acks(number int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, hold := range r.holds {
		if hold.Acked == number {
			count++
		} else if number == 0 {
			count = 0
		}
	}
	return count
}

// Guards against runs of an earlier leader that are taken as over at once when their worker falls silent after its first
// answer: they go on until the lease that the earlier leader gave has passed.
func TestSilenceAfterFirstAnswerWaitsForTheLease(t *testing.T) {
	const lease = 400 * time.Millisecond
	runner, events := &fakeRunner{}, newRecorder()
	startLink(t, runner, events, lease)
	<-events.reports
	answered := time.Now()
	runner.silence()
	<-events.lapsed
	require.GreaterOrEqual(t, time.Since(answered), lease)
}

// Guards against tasks that stay on a worker which fell silent before it answered its new link: what earlier links have
// ordered lapses at the time that they tell.
func TestInheritedLeaseLapses(*testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	runner.silence()
	l := New("w", runner, common.NewSystemClock(), Settings{
		Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true }, LeaseEnd: time.Now().Add(50 * time.Millisecond),
	}, events)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	<-events.lapsed
}

// Guards against a task that stays starting for ever because the link to its worker was closed, for example after the worker
// changed its address, before its order had a turn.
func TestClosedLinkAnswersItsOrders(t *testing.T) {
	runner, events := &fakeRunner{}, newRecorder()
	runner.silence() // the clock of the worker stays unknown, so that no order has a turn
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

// slowRunner leaves every order unanswered, each for a time.
type slowRunner struct {
	fakeRunner
	takes time.Duration
	began []time.Time // of the starts
}

func (r *slowRunner) Start(context.Context, oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	r.began = append(r.began, time.Now())
	time.Sleep(r.takes)
	return 0, oleanderline.ErrUncertain
}

// Guards against a start that is tried again seconds after it was decided, when its job may have been cancelled meanwhile.
func TestStartIsNotTriedAgainLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runner, events := &slowRunner{takes: 600 * time.Millisecond}, newRecorder()
		l := New("w", runner, common.NewSystemClock(), Settings{
			Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true },
		}, events)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { l.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		decided := time.Now()
		l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w"})
		require.ErrorIs(t, (<-events.results).Err, oleanderline.ErrUncertain)
		require.LessOrEqual(t, runner.began[len(runner.began)-1].Sub(decided), orderAge)
		cancel()
		running.Wait()
	})
}
