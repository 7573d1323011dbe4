package node

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// nowhere is the runner of an address at which there is no worker: calls are not answered.
type nowhere struct{}

func (nowhere) Start(context.Context, oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	return 0, oleanderline.ErrUnavailable
}

func (nowhere) Stop(context.Context, oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return 0, oleanderline.ErrUnavailable
}

func (nowhere) Throttle(context.Context, oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	return 0, oleanderline.ErrUnavailable
}

func (nowhere) Renew(context.Context, oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	time.Sleep(350 * time.Millisecond)
	return oleanderline.WorkerReport{}, oleanderline.ErrUnavailable
}

func (nowhere) Close() {}

// Guards against one odd entry in the directory of workers that ends every leader: with an id that is too long for the key of a record,
// the log refused each append of the leader, its heartbeats included.
func TestOddDirectoryEntryDoesNotStopTheCell(t *testing.T) {
	for _, id := range []string{strings.Repeat("x", maxKey), strings.Repeat("x", maxKey-1), "a\r\nb", "\xff"} {
		commons := newCommons()
		synctest.Test(t, func(t *testing.T) {
			c := newTestCell(t, 0, commons, func(c *testCell) {
				c.wrapRunner = func(_ int, worker oleanderline.WorkerID, runner oleanderline.Runner) oleanderline.Runner {
					if string(worker) == id {
						return nowhere{}
					}
					return runner
				}
			})
			defer c.close()
			time.Sleep(4 * time.Second) // until there is a leader
			leader := c.leaderIndex()
			c.appendRecord(streamWorkers, id, "ready")
			time.Sleep(time.Second)
			job := oleanderline.Job{ID: "0000000000000001", Queue: "q", Policy: testQueue, Payload: "1", Steps: []oleanderline.Step{
				{Count: 2, Size: oleanderline.Size{CPU: 1000, Memory: 100}},
			}}
			require.True(t, c.submit(job))
			time.Sleep(20 * time.Second)
			state, err := c.process(0).node.State(c.ctx, "q", job.ID)
			require.NoError(t, err)
			require.Equal(t, oleanderline.JobCompleted, state)
			require.Equal(t, leader, c.leaderIndex())
			require.Empty(t, c.checker.Violations())
		})
	}
}
