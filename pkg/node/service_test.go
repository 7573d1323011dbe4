package node

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a log line that names the wrong call when a caller asks about a job that is not known.
func TestRefusalNamesTheCall(t *testing.T) {
	type scenario struct {
		name string
		call func(c *testCell, n *Node) error
		want string
	}
	for _, s := range []scenario{
		{"state", func(c *testCell, n *Node) error { _, err := n.State(c.ctx, "q", "none"); return err }, `"call":"state"`},
		{"cancel", func(c *testCell, n *Node) error { return n.Cancel(c.ctx, "q", "none") }, `"call":"cancel"`},
	} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommons()
			var log bytes.Buffer
			commons[0].Log.Logger.SetOutput(&log)
			commons[0].Log.Logger.SetLevel(logrus.WarnLevel)
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, 0, commons)
				defer c.close()
				time.Sleep(4 * time.Second) // until there is a leader
				require.ErrorIs(t, s.call(c, c.process(0).node), oleanderline.ErrUnknownJob)
			})
			require.Contains(t, log.String(), s.want)
		})
	}
}

// Guards against a cancellation that is answered with "no such job", and has no effect, because this process has not read yet
// that another one has accepted the job.
func TestCancellationRightAfterSubmission(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		for i := range processCount {
			job := oleanderline.Job{ID: oleanderline.JobID(string(rune('a' + i))), Queue: testQueue.ID, Payload: "1", Policy: testQueue, Steps: []oleanderline.Step{
				{Count: 1, Size: oleanderline.Size{CPU: 1000, Memory: 500}, LongRunning: true},
			}}
			c.checker.Submitted(job)
			require.NoError(t, c.process(i).node.Submit(c.ctx, job))
			c.checker.Accepted(job.ID)
			require.NoError(t, c.process((i+1)%processCount).node.Cancel(c.ctx, "q", job.ID))
			c.checker.Cancelled(job.ID)
			time.Sleep(2 * time.Second)
		}
		require.Zero(t, c.runningCount())
		require.Empty(t, c.checker.Violations())
	})
}

// Guards against a process that has not read the records yet and reads the whole log for each cancellation.
func TestCancellationBeforeTheFirstReadReadsNothing(t *testing.T) {
	n := New(newCommons()[0], Settings{}, Ports{}) // without a log, so that a read would panic
	require.ErrorIs(t, n.Cancel(t.Context(), "q", "none"), oleanderline.ErrNotReady)
}

// Guards against a job whose record is larger than the log accepts: the append with it is refused each time, and with it the other jobs
// that came at the same moment.
func TestJobTooLargeForTheLogIsRefused(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		job := func(id oleanderline.JobID, payload oleanderline.ByteCount) oleanderline.Job {
			return oleanderline.Job{ID: id, Queue: testQueue.ID, Policy: testQueue, Payload: strings.Repeat("1", int(payload)), Steps: []oleanderline.Step{{Count: 1}}}
		}
		n := c.process(0).node
		require.ErrorIs(t, n.Submit(c.ctx, job("large", testLimits.Record)), oleanderline.ErrTooLarge)
		var submissions sync.WaitGroup
		for i := range 10 { // together larger than an append
			submissions.Go(func() {
				require.NoError(t, n.Submit(c.ctx, job(oleanderline.JobID(rune('a'+i)), testLimits.Record*3/4)))
			})
		}
		submissions.Wait()
	})
}
