package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

// faultyAppends changes how the calls of one process to its appenders end.
type faultyAppends struct {
	AppendPort

	mu    sync.Mutex
	fault func(ctx context.Context, address string, call func() error) error // nil for none
	calls []string                                                           // addresses
}

func (a *faultyAppends) Append(ctx context.Context, address string, request relay.AppendRequest) error {
	a.mu.Lock()
	fault := a.fault
	a.calls = append(a.calls, address)
	a.mu.Unlock()
	call := func() error { return a.AppendPort.Append(ctx, address, request) }
	if fault == nil {
		return call()
	}
	return fault(ctx, address, call)
}

// called returns the addresses that were called so far.
func (a *faultyAppends) called() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.calls...)
}

// appenderCell is a cell whose first process that does not lead takes the log for slow.
type appenderCell struct {
	*testCell

	leader, caller int
	appends        *faultyAppends // of the caller
}

const slowTestAnswer = 100 * time.Millisecond

// playAppender runs a test with an appenderCell.
func playAppender(t *testing.T, play func(t *testing.T, c *appenderCell), options ...func(*testCell)) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := &appenderCell{testCell: newTestCell(t, 0, commons, options...)}
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		c.leader = c.leaderIndex()
		c.caller = (c.leader + 1) % processCount
		n := c.process(c.caller).node
		c.appends = &faultyAppends{AppendPort: n.appenders}
		n.appenders = c.appends
		play(t, c)
		time.Sleep(5 * time.Second) // until the tasks of stored jobs have ended
		require.Empty(t, c.checker.Violations())
	})
}

// submitSlow submits a job to the caller's process, which takes the log for slow.
func (c *appenderCell) submitSlow(id oleanderline.JobID) error {
	job := testJob(id)
	c.checker.Submitted(job)
	n := c.process(c.caller).node
	n.policy.ObserveCell(slowTestAnswer, time.Now())
	ctx, cancel := context.WithTimeout(c.ctx, callerDeadline)
	defer cancel()
	err := n.Submit(ctx, job)
	if err == nil {
		c.checker.Accepted(id)
	}
	return err
}

// stored returns how many records of a job's submission the log holds.
func (c *testCell) stored(id oleanderline.JobID) int {
	batch, err := c.store.Read(context.Background(), record.Stream, 0, 0)
	require.NoError(c.t, err)
	count := 0
	for _, rec := range batch.Records {
		if kind, job := record.ParseKey(rec.Key); kind == record.KindJob && job == string(id) {
			count++
		}
	}
	return count
}

func testJob(id oleanderline.JobID) oleanderline.Job {
	return oleanderline.Job{ID: id, Queue: testQueue.ID, Policy: testQueue, Payload: "1", Steps: []oleanderline.Step{
		{Count: 1, Size: oleanderline.Size{CPU: 100, Memory: 100}, Estimate: time.Second},
	}}
}

const testJobID = oleanderline.JobID("0000000000000001")
