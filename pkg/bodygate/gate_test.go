package bodygate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// afterWatch is longer than the goroutine that evicts runs after the last body has been admitted.
const afterWatch = 2 * maxWatchInterval

// Guards against a stalled body that keeps the memory, and against the admission of another one before the memory is free.
func TestAStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(common.NewSystemClock(), 100, time.Second)
		evicted := make(chan struct{})
		stalled, err := gate.Acquire(context.Background(), 100, func() { close(evicted) })
		require.NoError(t, err)
		go func() {
			<-evicted
			require.False(t, stalled.Complete())
			stalled.Release()
		}()
		next, err := gate.Acquire(context.Background(), 60, func() {})
		require.NoError(t, err)
		require.True(t, next.Complete())
		next.Release()
		next.Release() // has no effect
		require.Zero(t, gate.Used())
		time.Sleep(afterWatch)
	})
}

// Guards against a wait that does not end with its context, and against memory for a body that has given up waiting.
func TestTheWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(common.NewSystemClock(), 100, time.Hour)
		first, err := gate.Acquire(context.Background(), 100, func() {})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = gate.Acquire(ctx, 1, func() {})
		require.ErrorIs(t, err, ErrFull)
		first.Release()
		require.Zero(t, gate.Used())
		time.Sleep(afterWatch)
	})
}

// Guards against a body that waits although the budget was raised.
func TestARaisedBudgetAdmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(common.NewSystemClock(), 100, time.Hour)
		first, err := gate.Acquire(context.Background(), 100, func() {})
		require.NoError(t, err)
		admitted := make(chan *Grant)
		go func() {
			grant, _ := gate.Acquire(context.Background(), 100, func() {})
			admitted <- grant
		}()
		synctest.Wait()
		gate.SetTotal(200)
		second := <-admitted
		second.Release()
		first.Release()
		time.Sleep(afterWatch)
	})
}
