package cellfake

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a stand-in that hides a herd of writers: appends wait for each other, those behind too much work are refused, and one
// whose caller gives up is stored nevertheless.
func TestAppendQueueTakesOneAppendAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := NewAppendQueue(NewStore(), "s")
		queue.SetAnswerTime(time.Second)
		begun := time.Now()
		errs := make([]error, 4)
		var appends sync.WaitGroup
		for i := range errs {
			ctx, cancel := context.WithTimeout(t.Context(), []time.Duration{5 * time.Second, 5 * time.Second, time.Second, 5 * time.Second}[i])
			appends.Go(func() {
				defer cancel()
				_, errs[i] = queue.Append(ctx, "s", []oleanderline.KeyedRecord{{Key: "k", Value: []byte("v")}}, oleanderline.AppendCondition{})
			})
			synctest.Wait()
		}
		appends.Wait()
		queue.Wait()
		require.Equal(t, 3*time.Second, time.Since(begun))
		require.NoError(t, errs[0])
		require.NoError(t, errs[1])
		require.ErrorIs(t, errs[2], oleanderline.ErrUncertain)
		require.ErrorIs(t, errs[3], oleanderline.ErrUnavailable)
		require.Equal(t, oleanderline.Offset(3), queue.End("s"))
		done, refused := queue.Appends()
		require.Equal(t, [2]int64{3, 1}, [2]int64{done, refused})
	})
}
