package node

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against records that a leader takes for stored although the log has dropped them as a repetition of a predecessor's append
// with the same number: a leader must not use the numbers of another one.
func TestSuccessorOfAShortTermStoresItsRecords(t *testing.T) {
	c := newTestCell(t, 1, newCommons(), func(c *testCell) {
		c.store = cellfake.NewStore(cellfake.WithLastingSequences())
		for _, worker := range c.workers {
			c.listWorker(worker.ID())
		}
		c.appendRecord(streamConfig, "config", "1")
	})
	defer c.close()
	require.Eventually(t, func() bool { return c.leaderIndex() >= 0 }, 10*time.Second, 10*time.Millisecond)
	first := c.leaderIndex()
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	c.process(first).node.Drain(ctx)
	require.Eventually(t, func() bool { return c.leaderIndex() >= 0 && c.leaderIndex() != first }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond) // for the first append of the second leader, before its second heartbeat
	require.True(t, slices.ContainsFunc(c.leaderRecords(), func(leader record.Leader) bool { return leader.Term == 2 }))
}

// leaderRecords returns the stored records of leaders.
func (c *testCell) leaderRecords() []record.Leader {
	batch, err := c.store.Read(context.Background(), record.Stream, 0, 0)
	require.NoError(c.t, err)
	var leaders []record.Leader
	for _, rec := range batch.Records {
		if kind, _ := record.ParseKey(rec.Key); kind == record.KindLeader {
			leader, err := record.Decode[record.Leader](rec)
			require.NoError(c.t, err)
			leaders = append(leaders, leader)
		}
	}
	return leaders
}
