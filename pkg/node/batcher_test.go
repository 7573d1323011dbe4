package node

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

// silentLog is a log whose appends fail after a time.
type silentLog struct {
	oleanderline.KeyedLog
	answersAfter time.Duration
}

func (l silentLog) Append(context.Context, oleanderline.Stream, []oleanderline.KeyedRecord, oleanderline.AppendCondition) (oleanderline.Offset, error) {
	time.Sleep(l.answersAfter)
	return 0, oleanderline.ErrUncertain
}

// Guards against a circuit breaker that stays closed while the log fails, because all callers give up before an append has
// failed: each further caller would wait for its whole deadline.
func TestBreakerOpensAfterCallersHaveGivenUp(t *testing.T) {
	c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := newBatcher(c, silentLog{answersAfter: 3 * time.Second}, oleanderline.LogLimits{}, groupcommit.New(rand.Float64), appendAttempts)
		go b.run(ctx)
		caller, giveUp := context.WithTimeout(ctx, time.Second)
		defer giveUp()
		require.ErrorIs(t, b.store(caller, oleanderline.KeyedRecord{Key: "j/a"}), oleanderline.ErrUncertain)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Positive(t, b.outage())
		cancel()
		synctest.Wait()
	})
}

// minLostTime is the time after which an append without an answer counts as lost.
const minLostTime = 900 * time.Millisecond

// lossyLog is a log that never answers the first append, and answers the others after a time.
type lossyLog struct {
	oleanderline.KeyedLog
	answersAfter time.Duration
	appends      atomic.Int64
	records      atomic.Int64 // of the appends that it has answered
}

func (l *lossyLog) Append(ctx context.Context, _ oleanderline.Stream, records []oleanderline.KeyedRecord, _ oleanderline.AppendCondition) (oleanderline.Offset, error) {
	if l.appends.Add(1) == 1 {
		<-ctx.Done()
		return 0, oleanderline.ErrUncertain
	}
	time.Sleep(l.answersAfter)
	l.records.Add(int64(len(records)))
	return 0, nil
}

// runBatcher runs a test with a batcher.
func runBatcher(t *testing.T, log oleanderline.KeyedLog, play func(ctx context.Context, b *batcher)) {
	c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		policy := groupcommit.New(rand.Float64)
		b := newBatcher(c, &timedLog{KeyedLog: log, clock: c.Clock, policy: policy, onLate: func(time.Duration) {}}, oleanderline.LogLimits{}, policy, 1)
		go b.run(ctx)
		play(ctx, b)
		cancel()
		synctest.Wait()
	})
}

// Guards against records that wait for the lost answer to an append of others.
func TestLostAnswerDoesNotHoldUpOtherRecords(t *testing.T) {
	runBatcher(t, &lossyLog{answersAfter: 5 * time.Millisecond}, func(ctx context.Context, b *batcher) {
		go func() { _ = b.store(ctx, oleanderline.KeyedRecord{Key: "j/a"}) }()
		synctest.Wait()
		begun := time.Now()
		require.NoError(t, b.store(ctx, oleanderline.KeyedRecord{Key: "j/b"}))
		require.Less(t, time.Since(begun), minLostTime)
	})
}

// Guards against a caller that gets "may have been stored" for a record that was still in the queue at its deadline, and against such a
// record that is stored after its caller was told that it is not.
func TestRecordInTheQueueIsWithdrawn(t *testing.T) {
	log := &lossyLog{answersAfter: time.Second}
	log.appends.Add(1) // no answer is lost
	runBatcher(t, log, func(ctx context.Context, b *batcher) {
		go func() { _ = b.store(ctx, oleanderline.KeyedRecord{Key: "j/a"}) }()
		synctest.Wait()
		caller, giveUp := context.WithTimeout(ctx, 100*time.Millisecond)
		defer giveUp()
		require.ErrorIs(t, b.store(caller, oleanderline.KeyedRecord{Key: "j/b"}), relay.ErrNotInTime)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 1, log.records.Load())
	})
}

// Guards against a caller that is held although the log is known to answer after its deadline.
func TestTooSlowForTheCallerIsRefusedAtOnce(t *testing.T) {
	log := &lossyLog{answersAfter: time.Second}
	log.appends.Add(1) // no answer is lost
	runBatcher(t, log, func(ctx context.Context, b *batcher) {
		require.NoError(t, b.store(ctx, oleanderline.KeyedRecord{Key: "j/a"}))
		caller, giveUp := context.WithTimeout(ctx, 900*time.Millisecond)
		defer giveUp()
		begun := time.Now()
		require.ErrorIs(t, b.store(caller, oleanderline.KeyedRecord{Key: "j/b"}), relay.ErrNotInTime)
		require.Zero(t, time.Since(begun))
	})
}

// Guards against an appender on a small VM that holds the large records of many nodes until it is out of memory.
func TestRecordsBeyondTheMemoryBoundAreRefused(t *testing.T) {
	log := &lossyLog{answersAfter: time.Second}
	log.appends.Add(1) // no answer is lost
	runBatcher(t, log, func(ctx context.Context, b *batcher) {
		large := oleanderline.KeyedRecord{Key: "j/a", Value: make([]byte, maxPending/4)}
		var stored, refused atomic.Int64
		for range 10 {
			go func() {
				if err := b.store(ctx, large); err != nil {
					refused.Add(1)
					return
				}
				stored.Add(1)
			}()
		}
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 3, stored.Load())
		require.EqualValues(t, 7, refused.Load())
		require.NoError(t, b.store(ctx, large), "the memory is free again")
	})
}

// Guards against a withdrawn record that is appended, and a record in an append that is reported as withdrawn.
func TestWithdrawnOrTaken(t *testing.T) {
	withdrawn, taken := newPendingRecord(t.Context(), oleanderline.KeyedRecord{}), newPendingRecord(t.Context(), oleanderline.KeyedRecord{})
	require.True(t, withdrawn.withdraw())
	require.False(t, withdrawn.take())
	require.True(t, taken.take())
	require.False(t, taken.withdraw())
}

// refusingLog is a log that refuses appends once refuses is set.
type refusingLog struct {
	oleanderline.KeyedLog
	answersAfter time.Duration
	refuses      atomic.Bool
}

func (l *refusingLog) Append(context.Context, oleanderline.Stream, []oleanderline.KeyedRecord, oleanderline.AppendCondition) (oleanderline.Offset, error) {
	if l.refuses.Load() {
		return 0, oleanderline.ErrUnavailable
	}
	time.Sleep(l.answersAfter)
	return 0, nil
}

// Guards against processes that send a record on when a slow log has refused it because of its queue, which would keep the queue full; and
// against a process that the log refuses for another reason and whose records are not sent on.
func TestRefusalOfASlowLogIsFinal(t *testing.T) {
	for _, answer := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond} {
		log := &refusingLog{answersAfter: answer}
		runBatcher(t, log, func(ctx context.Context, b *batcher) {
			require.NoError(t, b.store(ctx, oleanderline.KeyedRecord{Key: "j/a"}))
			log.refuses.Store(true)
			for range 2 { // the second one is refused by the circuit breaker
				err := b.store(ctx, oleanderline.KeyedRecord{Key: "j/b"})
				require.ErrorIs(t, err, oleanderline.ErrUnavailable)
				require.Equal(t, answer > 100*time.Millisecond, errors.Is(err, relay.ErrNotInTime))
			}
		})
	}
}
