package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
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
		b := newBatcher(c, silentLog{answersAfter: 3 * time.Second}, oleanderline.LogLimits{})
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
