package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

// Guards against a node that appends for itself while the log is slow, and against one that does not while the switch is off.
func TestSlowLogIsReachedThroughTheLeader(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		require.NoError(t, c.submitSlow(testJobID))
		require.Equal(t, []string{fmt.Sprint(c.leader)}, c.appends.called())
		require.Equal(t, 1, c.stored(testJobID))
	})
	playAppender(t, func(t *testing.T, c *appenderCell) {
		require.NoError(t, c.submitSlow(testJobID))
		require.Empty(t, c.appends.called())
	}, func(c *testCell) { c.ownAppends = true })
}

// Guards against a submission that is lost, answered with "not stored", or run twice, because its appender fails halfway.
func TestAppenderFailsHalfway(t *testing.T) {
	type scenario struct {
		name  string
		fault func(ctx context.Context, call func() error) error
		calls int // to appenders
	}
	for _, s := range []scenario{
		{"killed after the append, before its answer", func(_ context.Context, call func() error) error {
			if err := call(); err != nil {
				return err
			}
			return oleanderline.ErrUncertain
		}, 2},
		{"killed before the append", func(context.Context, func() error) error { return oleanderline.ErrUncertain }, 2},
		{"not reached", func(context.Context, func() error) error { return oleanderline.ErrUnavailable }, 2},
		{"frozen", func(ctx context.Context, _ func() error) error {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
			return oleanderline.ErrUncertain
		}, 2},
		{"without time for the record", func(context.Context, func() error) error { return relay.ErrNotInTime }, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			playAppender(t, func(t *testing.T, c *appenderCell) {
				leader := fmt.Sprint(c.leader)
				c.appends.fault = func(ctx context.Context, address string, call func() error) error {
					if address == leader {
						return s.fault(ctx, call)
					}
					return call()
				}
				err := c.submitSlow(testJobID)
				if s.calls == 1 {
					require.ErrorIs(t, err, oleanderline.ErrUnavailable)
					time.Sleep(5 * time.Second)
					require.Zero(t, c.stored(testJobID))
					return
				}
				require.NoError(t, err)
				require.NoError(t, c.submitSlow(testJobID), "a repeat")
				require.Positive(t, c.stored(testJobID))
			})
		})
	}
}

// Guards against a record that is answered with "not stored" although an appender may have stored it, when all other ways fail.
func TestLostAnswerStaysUncertain(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		leader := fmt.Sprint(c.leader)
		c.appends.fault = func(_ context.Context, address string, call func() error) error {
			if address != leader {
				return oleanderline.ErrUnavailable
			}
			if err := call(); err != nil {
				return err
			}
			return oleanderline.ErrUncertain
		}
		c.process(c.caller).store.SetFault(cellfake.FaultRefuse)
		require.ErrorIs(t, c.submitSlow(testJobID), oleanderline.ErrUncertain)
		require.Equal(t, 1, c.stored(testJobID))
		c.process(c.caller).store.SetFault(cellfake.FaultNone)
		c.appends.fault = nil
		time.Sleep(2 * time.Second) // until the caller's process has read the record
		require.NoError(t, c.submitSlow(testJobID), "a repeat")
		require.Equal(t, 1, c.stored(testJobID))
		c.checker.Accepted(testJobID)
	})
}

// Guards against a node that cannot store because the log refuses it, while the log serves others; and against one that relies on an
// appender which the log refuses.
func TestLogRefusesOneNode(t *testing.T) {
	type scenario struct {
		name    string
		refused func(c *appenderCell) int
	}
	for _, s := range []scenario{
		{"the caller's node", func(c *appenderCell) int { return c.caller }},
		{"the appender", func(c *appenderCell) int { return c.leader }},
	} {
		t.Run(s.name, func(t *testing.T) {
			playAppender(t, func(t *testing.T, c *appenderCell) {
				index := s.refused(c)
				c.process(index).store.SetFault(cellfake.FaultRefuse)
				require.NoError(t, c.submitSlow(testJobID))
				c.process(index).store.SetFault(cellfake.FaultNone)
				require.Positive(t, c.stored(testJobID))
			})
		})
	}
}

// Guards against a node that gives up although another node is served, because the log refuses itself and the leader.
func TestLogRefusesTwoNodes(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		for _, index := range []int{c.caller, c.leader} {
			c.process(index).store.SetFault(cellfake.FaultRefuse)
		}
		job := testJob(testJobID)
		c.checker.Submitted(job)
		require.NoError(t, c.process(c.caller).node.Submit(c.ctx, job))
		c.checker.Accepted(job.ID)
		for _, index := range []int{c.caller, c.leader} {
			c.process(index).store.SetFault(cellfake.FaultNone)
		}
		require.Equal(t, 1, c.stored(testJobID))
	})
}

// Guards against a record that a former leader refuses, or two appenders store twice with effect: appenders need not agree on who appends.
func TestAnyNodeAppends(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		job := testJob(testJobID)
		c.checker.Submitted(job)
		rec, err := record.ForJob(&job)
		require.NoError(t, err)
		for i := range processCount {
			require.NoError(t, c.process(i).node.AppendHere(c.ctx, rec))
		}
		c.checker.Accepted(job.ID)
		require.Equal(t, processCount, c.stored(job.ID))
	})
}

// Guards against an appender that stops as planned and takes a record that it may not answer any more.
func TestStoppingNodeAppendsForNobody(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		n := c.process(c.leader).node
		n.Drain(c.ctx)
		require.ErrorIs(t, n.AppendHere(c.ctx, record.ForCancel(testJobID)), oleanderline.ErrUnavailable)
		require.NoError(t, c.submitSlow(testJobID), "before the caller's node has read of the resignation")
		time.Sleep(2 * time.Second)
		before := len(c.appends.called())
		require.NoError(t, c.submitSlow("0000000000000002"))
		require.NotContains(t, c.appends.called()[before:], fmt.Sprint(c.leader))
	})
}

// Guards against a repeat of a submission at another node, while the first try is under way, that makes a second job of it.
func TestRepeatAtAnotherNode(t *testing.T) {
	playAppender(t, func(t *testing.T, c *appenderCell) {
		var calls sync.WaitGroup
		job := testJob(testJobID)
		c.checker.Submitted(job)
		for i := range processCount {
			n := c.process(i).node
			n.policy.ObserveCell(slowTestAnswer, time.Now())
			calls.Go(func() { require.NoError(t, n.Submit(c.ctx, job)) })
		}
		calls.Wait()
		c.checker.Accepted(job.ID)
	})
}
