package node

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/groupcommit"
	"github.com/oleanderline/oleanderline/pkg/lead"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a cell of many nodes whose callers are refused or wait in vain while the log answers slowly, because each node appends for
// itself, and whose leader is lost because its heartbeats wait among these appends; and against answers that are not true.
func TestManyNodesAtASlowLog(t *testing.T) {
	const nodes = 43
	load := storeLoad{nodes, 60}
	play := func(options ...func(*testCell)) *storeResult {
		commons := newCommonsOn(slices.Repeat([]oleanderline.Clock{common.NewSystemClock()}, nodes))
		r := playStoreLoad(t, load, commons, options...)
		require.Empty(t, r.falseAnswers)
		return r
	}
	r := play()
	require.Zero(t, r.leaders)
	require.Greater(t, r.accepted, 9*(r.refused+r.uncertain))
	require.Less(t, quantile(r.times, 0.5), time.Second)
	off := play(func(c *testCell) { c.ownAppends = true })
	require.Less(t, off.accepted, off.refused+off.uncertain)
}

// playSlowLog runs a test with a cell whose log answers fast at first.
func playSlowLog(t *testing.T, play func(c *testCell, queue *cellfake.AppendQueue)) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		var queue *cellfake.AppendQueue
		c := newTestCell(t, 0, commons, func(c *testCell) {
			queue = cellfake.NewAppendQueue(c.store, record.Stream)
			c.log = queue
		})
		defer queue.Wait()
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		play(c, queue)
	})
}

// Guards against a leader that is replaced although it is alive, because its heartbeats are late while the log is slow.
func TestLeaderIsKeptWhileTheLogIsSlow(t *testing.T) {
	playSlowLog(t, func(c *testCell, queue *cellfake.AppendQueue) {
		terms := c.terms()
		follower := c.process((c.leaderIndex() + 1) % processCount).node
		require.False(t, follower.policy.CertainlySlow(time.Now()))
		queue.SetAnswerTime(700 * time.Millisecond)
		time.Sleep(20 * time.Second)
		require.True(t, follower.policy.CertainlySlow(time.Now()))
		require.Equal(t, terms, c.terms())
	})
}

// Guards against claims that are delayed although the log is fast or the leader has ended, and against claims that are not because of a slow
// log.
func TestClaimsWaitForASlowLog(t *testing.T) {
	require.Equal(t, slowLogDelay, slowDelay(lead.CauseSilent, true))
	require.Zero(t, slowDelay(lead.CauseSilent, false))
	require.Zero(t, slowDelay(lead.CauseResigned, true))
	require.Zero(t, slowDelay(lead.CauseDead, true))
}

// Guards against nodes that learn of a slow log only after each of them has appended for itself.
func TestLeaderTellsOfASlowLog(t *testing.T) {
	playSlowLog(t, func(c *testCell, _ *cellfake.AppendQueue) {
		leader := c.leaderIndex()
		follower := c.process((leader + 1) % processCount).node
		follower.announceSlow(groupcommit.SlowAnswer)
		time.Sleep(10 * time.Millisecond)
		require.False(t, c.process(leader).node.policy.Slow(time.Now()), "only the leader tells")
		c.process(leader).node.announceSlow(groupcommit.SlowAnswer)
		time.Sleep(10 * time.Millisecond)
		require.True(t, follower.policy.Slow(time.Now()))
	})
}

// Guards against an append that is late without the peers being told, and against one that is told of although it is in time.
func TestLateAppendIsNoticed(t *testing.T) {
	type scenario struct {
		answersAfter time.Duration
		want         int64
	}
	for _, s := range []scenario{{groupcommit.SlowAnswer / 2, 0}, {2 * groupcommit.SlowAnswer, 1}} {
		synctest.Test(t, func(t *testing.T) {
			var late atomic.Int64
			log := &timedLog{
				KeyedLog: &refusingLog{answersAfter: s.answersAfter}, clock: common.NewSystemClock(), policy: groupcommit.New(rand.Float64),
				onLate: func(time.Duration) { late.Add(1) },
			}
			_, err := log.Append(t.Context(), record.Stream, nil, oleanderline.AppendCondition{})
			require.NoError(t, err)
			synctest.Wait()
			require.Equal(t, s.want, late.Load())
		})
	}
}
