package link

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// startOrder is the start of a task in the failure domain "north".
var startOrder = plan.Order{Kind: plan.OrderStart, Worker: "w", Domain: "north"}

// runDomainLink runs a link whose domain "north" is in service until out is set, and calls test.
func runDomainLink(t *testing.T, runner oleanderline.Runner, test func(t *testing.T, l *Link, events *recorder, out *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		events := newRecorder()
		var out atomic.Bool
		l := New("w", runner, common.NewSystemClock(), Settings{
			Term: 1, Lease: time.Second, Authority: func(time.Time) bool { return true },
			InService: func(domain oleanderline.DomainID) bool { return domain != "north" || !out.Load() },
		}, events)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { l.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		test(t, l, events, &out)
		cancel()
		wg.Wait()
	})
}

// Guards against a start that is sent to a failure domain out of service because it was decided before, or by a leader that does not
// know the request. Stops and starts elsewhere are sent.
func TestStartWaitingInTheLinkIsNotSent(t *testing.T) {
	runner := &slowRunner{delay: 300 * time.Millisecond}
	runDomainLink(t, runner, func(t *testing.T, l *Link, events *recorder, out *atomic.Bool) {
		l.Order(plan.Order{Kind: plan.OrderStart, Worker: "w", Domain: "south"})
		l.Order(startOrder)
		time.Sleep(100 * time.Millisecond) // the first order is under way
		out.Store(true)
		require.ErrorIs(t, (<-events.results).Err, oleanderline.ErrUncertain)
		sent := len(runner.startTimes)
		result := <-events.results
		require.ErrorIs(t, result.Err, errOutOfService)
		require.Zero(t, result.Attempts)
		require.Len(t, runner.startTimes, sent)
		l.Order(plan.Order{Kind: plan.OrderStop, Worker: "w"})
		require.NoError(t, (<-events.results).Err)
	})
}

// Guards against a start that had no answer and is repeated in a failure domain that has gone out of service meanwhile. Its outcome stays
// uncertain, so that the run is stopped if it has begun.
func TestUnansweredStartIsNotRepeated(t *testing.T) {
	runner := &slowRunner{delay: 300 * time.Millisecond}
	runDomainLink(t, runner, func(t *testing.T, l *Link, events *recorder, out *atomic.Bool) {
		l.Order(startOrder)
		time.Sleep(100 * time.Millisecond)
		out.Store(true)
		result := <-events.results
		require.ErrorIs(t, result.Err, oleanderline.ErrUncertain)
		require.Equal(t, 1, result.Attempts)
		require.Len(t, runner.startTimes, 1)
	})
}
