package link_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// restartedRunner forwards calls to a worker. While it is cut, a start is still carried out, but nothing is answered.
type restartedRunner struct {
	worker           *cellfake.Worker
	cut, renewalsCut atomic.Bool
	replaced         atomic.Bool  // another incarnation answers at the worker's address
	startsLost       atomic.Bool  // starts are neither carried out nor answered
	startDelay       atomic.Int64 // of the answer to a start, in nanoseconds
	deadline         atomic.Int64 // of the newest start, on the worker's clock
}

func (r *restartedRunner) Start(_ context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	r.deadline.Store(int64(order.Deadline))
	if r.startsLost.Load() {
		time.Sleep(time.Duration(r.startDelay.Load()))
		return 0, oleanderline.ErrUncertain
	}
	clock, err := r.worker.Start(order)
	time.Sleep(time.Duration(r.startDelay.Load()))
	if r.cut.Load() {
		return 0, oleanderline.ErrUncertain
	}
	return clock, err
}

func (r *restartedRunner) Stop(context.Context, oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return 0, oleanderline.ErrUncertain
}

func (r *restartedRunner) Throttle(context.Context, oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	return 0, oleanderline.ErrUncertain
}

func (r *restartedRunner) Renew(ctx context.Context, order oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	if r.cut.Load() || r.renewalsCut.Load() {
		return oleanderline.WorkerReport{}, oleanderline.ErrUncertain
	}
	if r.replaced.Load() {
		return oleanderline.WorkerReport{}, &oleanderline.RefusedError{Reason: oleanderline.RefusedIncarnation}
	}
	report, err := r.worker.Renew(ctx, order)
	if r.cut.Load() || r.renewalsCut.Load() {
		return oleanderline.WorkerReport{}, oleanderline.ErrUncertain
	}
	return report, err
}

func (r *restartedRunner) Close() {}

// expiryRecorder records the results of orders and the expiry of leases.
type expiryRecorder struct {
	expired         chan struct{}
	answeredExpired chan struct{} // the leases of runs whose start was answered have expired
	results         chan plan.Result
	replaced        atomic.Int64
}

func (r *expiryRecorder) Report(oleanderline.WorkerID, oleanderline.WorkerReport, time.Time) {}
func (r *expiryRecorder) Result(result plan.Result)                                          { r.results <- result }
func (r *expiryRecorder) CallFailed(oleanderline.WorkerID, error)                            {}
func (r *expiryRecorder) Fenced(oleanderline.WorkerID)                                       {}
func (r *expiryRecorder) Replaced(oleanderline.WorkerID, time.Time)                          { r.replaced.Add(1) }

func (r *expiryRecorder) LeaseExpired(_ oleanderline.WorkerID, expiry plan.Expiry) {
	expired := r.expired
	if expiry.AnsweredOnly {
		expired = r.answeredExpired
	}
	select {
	case expired <- struct{}{}:
	default:
	}
}

// longWork makes every run last until its lease expires.
type longWork struct{ cellfake.Observer }

func (longWork) Work(oleanderline.RunKey, string) cellfake.Work { return cellfake.Work{} }
func (longWork) Started(oleanderline.WorkerID, oleanderline.RunKey, oleanderline.Term, time.Time) {
}
func (longWork) Ended(oleanderline.WorkerID, oleanderline.RunKey, oleanderline.EndKind) {}

const (
	lease    = 4 * time.Second
	maxLease = 6 * time.Second
)

// Guards against a lease that counts as expired while the run goes on: a worker that restarts under its id begins its clock anew, so a
// deadline on the clock of before is shortened only to the longest lease that the worker accepts. Without a sign of a restart, a lost
// worker must not cost more than the lease.
func TestDeadlineOnTheClockOfAnEarlierIncarnation(t *testing.T) {
	type scenario struct {
		name  string
		steps func(c *restartCase) // ends with the cut of the worker
		runs  int                  // after the steps
		most  time.Duration        // from the cut until the leases count as expired
	}
	for _, s := range []scenario{
		{"start not answered", func(c *restartCase) {
			c.runner.cut.Store(true)
			c.worker.Restart()
			c.start()
		}, 1, link.ExpiryBound(maxLease) + 2*time.Second},
		{"restart reported", func(c *restartCase) {
			c.runner.cut.Store(true)
			c.worker.Restart()
			c.start()
			c.runner.cut.Store(false)
			time.Sleep(300 * time.Millisecond) // for a report
			c.runner.cut.Store(true)
		}, 1, link.ExpiryBound(maxLease) + 2*time.Second},
		{"restart shown by the clock", func(c *restartCase) {
			c.runner.renewalsCut.Store(true)
			c.worker.Restart()
			c.start()
			c.start()
			c.runner.cut.Store(true)
		}, 2, link.ExpiryBound(maxLease) + 2*time.Second},
		{"no restart", func(c *restartCase) {
			c.start()
			time.Sleep(time.Second)
			c.runner.cut.Store(true)
		}, 1, link.ExpiryBound(lease) + time.Second},
		{"start not answered, but a later renewal", func(c *restartCase) {
			c.runner.cut.Store(true)
			c.start()
			c.runner.cut.Store(false)
			time.Sleep(2 * time.Second)
			c.runner.cut.Store(true)
		}, 1, link.ExpiryBound(lease) + time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestartCase()
				time.Sleep(10 * time.Second)
				s.steps(c)
				cutAt := time.Now()
				started := c.worker.RunCount()
				<-c.events.expired
				running, took := c.worker.RunCount(), time.Since(cutAt)
				c.cancel()
				c.wg.Wait()
				require.Equal(t, s.runs, started)
				require.Zero(t, running)
				require.LessOrEqual(t, took, s.most)
			})
		})
	}
}

// restartCase is a link to a worker.
type restartCase struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	worker *cellfake.Worker
	runner *restartedRunner
	events *expiryRecorder
	link   *link.Link
	starts int
}

func newRestartCase() *restartCase {
	ctx, cancel := context.WithCancel(context.Background())
	worker := cellfake.NewWorker("w", oleanderline.Size{}, maxLease, 1, longWork{})
	c := &restartCase{
		cancel: cancel, worker: worker, runner: &restartedRunner{worker: worker},
		events: &expiryRecorder{expired: make(chan struct{}, 1), answeredExpired: make(chan struct{}, 1), results: make(chan plan.Result, 1)},
	}
	c.link = link.New("w", c.runner, common.NewSystemClock(), link.Settings{
		Term: 1, Lease: lease, MaxLease: maxLease, RenewWait: 600 * time.Millisecond, Authority: func(time.Time) bool { return true },
	}, c.events)
	c.wg.Go(func() { worker.Run(ctx) })
	c.wg.Go(func() { c.link.Run(ctx) })
	return c
}

// start orders the start of another run and waits for the result.
func (c *restartCase) start() {
	c.starts++
	key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: c.starts}, Run: 1}
	c.link.Order(plan.Order{Kind: plan.OrderStart, Worker: "w", Key: key})
	<-c.events.results
}

// Guards against deadlines on the clock of an earlier incarnation after a later one has reported, because the answer of an order from
// before the restart was read last.
func TestLateAnswerDoesNotSetTheEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestartCase()
		time.Sleep(10 * time.Second)
		c.runner.startDelay.Store(int64(2 * time.Second))
		go func() {
			time.Sleep(500 * time.Millisecond)
			c.worker.Restart()
		}()
		restartedAt := time.Now().Add(500 * time.Millisecond)
		c.start()
		c.runner.startDelay.Store(0)
		c.start()
		deadline, age := time.Duration(c.runner.deadline.Load())*time.Millisecond, time.Since(restartedAt)
		c.cancel()
		c.wg.Wait()
		require.Positive(t, deadline)
		require.Less(t, deadline, age+lease+time.Second)
	})
}

// Guards against a second run of a task: a start that was decided for an earlier incarnation of the worker is carried out by a later one,
// which refuses neither earlier leaders nor earlier runs.
func TestStartForAnEarlierIncarnationIsNotSent(t *testing.T) {
	type scenario struct {
		name     string
		steps    func(c *restartCase) plan.Result
		attempts int
		runs     int
		err      error
	}
	for _, s := range []scenario{
		{"decided before the restart", func(c *restartCase) plan.Result {
			earlier := c.worker.Incarnation()
			c.worker.Restart()
			time.Sleep(2 * time.Second) // for a report
			return c.startOn(earlier)
		}, 0, 0, oleanderline.ErrUnavailable},
		{"restart between two attempts", func(c *restartCase) plan.Result {
			earlier := c.worker.Incarnation()
			c.runner.startsLost.Store(true)
			c.runner.startDelay.Store(int64(900 * time.Millisecond))
			go func() {
				time.Sleep(100 * time.Millisecond)
				c.worker.Restart()
				time.Sleep(700 * time.Millisecond) // for a report
				c.runner.startsLost.Store(false)
			}()
			return c.startOn(earlier)
		}, 1, 0, oleanderline.ErrUncertain},
		{"decided after the restart", func(c *restartCase) plan.Result {
			c.worker.Restart()
			time.Sleep(2 * time.Second)
			return c.startOn(c.worker.Incarnation())
		}, 1, 1, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRestartCase()
				time.Sleep(10 * time.Second)
				result := s.steps(c)
				runs := c.worker.RunCount()
				c.cancel()
				c.wg.Wait()
				require.Equal(t, s.attempts, result.Attempts)
				require.ErrorIs(t, result.Err, s.err)
				require.Equal(t, s.runs, runs)
			})
		})
	}
}

// startOn orders the start of another run on one incarnation of the worker and returns the result.
func (c *restartCase) startOn(incarnation oleanderline.WorkerIncarnation) plan.Result {
	c.starts++
	key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: c.starts}, Run: 1}
	c.link.Order(plan.Order{Kind: plan.OrderStart, Worker: "w", Life: incarnation, Key: key})
	return <-c.events.results
}

// Guards against a start without an answer that makes all runs on a lost worker wait for its longest lease: only the run of that start
// may have it, because a worker that has restarted runs nothing else.
func TestStartWithoutAnswerDoesNotProlongOtherLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestartCase()
		time.Sleep(10 * time.Second)
		c.start()
		time.Sleep(time.Second)
		c.runner.cut.Store(true)
		cutAt := time.Now()
		c.start()
		<-c.events.answeredExpired
		answered, running := time.Since(cutAt), c.worker.RunCount()
		<-c.events.expired
		all := time.Since(cutAt)
		c.cancel()
		c.wg.Wait()
		require.LessOrEqual(t, answered, link.ExpiryBound(lease)+2*time.Second)
		require.Zero(t, running)
		require.GreaterOrEqual(t, all, maxLease)
	})
}

// Guards against stops that make the runs on a lost worker wait: each one that was ordered from it began the wait for the leases anew,
// so that a task was without a run for as long as cancellations went on.
func TestStopsDoNotProlongLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestartCase()
		time.Sleep(10 * time.Second)
		c.start()
		time.Sleep(time.Second)
		c.runner.cut.Store(true)
		cutAt := time.Now()
		expired := false
		for time.Since(cutAt) < 3*lease && !expired {
			c.link.Order(plan.Order{Kind: plan.OrderStop, Worker: "w", Key: oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: 1}, Run: 1}})
			<-c.events.results
			select {
			case <-c.events.expired:
				expired = true
			case <-time.After(200 * time.Millisecond):
			}
		}
		c.cancel()
		c.wg.Wait()
		require.True(t, expired)
		require.LessOrEqual(t, time.Since(cutAt), link.ExpiryBound(lease)+time.Second)
	})
}

// Guards against a leader that is not told that another incarnation answers in place of its worker.
func TestReplacedWorkerIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRestartCase()
		time.Sleep(time.Second)
		require.Zero(t, c.events.replaced.Load())
		c.runner.replaced.Store(true)
		time.Sleep(time.Second)
		c.cancel()
		c.wg.Wait()
		require.Positive(t, c.events.replaced.Load())
	})
}
