package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// leader returns the index of the process that leads, or -1.
func (w *world) leader() int {
	for i := range worldNodes {
		if m := w.member(i); m != nil && m.node.leads() == 1 {
			return i
		}
	}
	return -1
}

// Guards against waiting for a leader that has gone with the earlier process of the own VM, as after a loss of power of all VMs.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, commons)
		defer w.close()
		time.Sleep(4 * time.Second)
		first := w.leader()
		require.GreaterOrEqual(t, first, 0)
		for i := range worldNodes {
			w.killNode(i, time.Second)
		}
		time.Sleep(time.Second + claimSpread + 500*time.Millisecond)
		require.Equal(t, first, w.leader())
	})
}

// Guards against tasks of a job that go on, or start, at a leader which has stored the cancellation itself and cannot read it
// back, because the log fails at that moment.
func TestLeaderActsOnItsOwnCancellation(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, commons)
		defer w.close()
		time.Sleep(4 * time.Second)
		job := oleanderline.Job{ID: "1", Queue: worldQueue.ID, Policy: worldQueue, Steps: []oleanderline.Step{
			{Count: 2, Size: oleanderline.Size{CPU: 1000, Memory: 500}, Lasting: true},
		}}
		w.checks.Sent(job)
		node := w.member(w.leader()).node
		require.NoError(t, node.Submit(w.ctx, job))
		w.checks.Accepted(job.ID)
		time.Sleep(time.Second)
		require.Equal(t, 2, w.running())
		w.blind.Store(true)
		require.NoError(t, node.Cancel(w.ctx, job.Queue, job.ID))
		w.checks.Cancelled(job.ID)
		time.Sleep(time.Second)
		require.Zero(t, w.running())
	})
}

// running counts the runs on all workers.
func (w *world) running() int {
	count := 0
	for _, worker := range w.workers {
		count += worker.RunCount()
	}
	return count
}
