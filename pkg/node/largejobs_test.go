package node

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/heldjobs"
)

// Guards against large jobs that are accepted without limit although every process holds them, against a large job that is refused
// although it is stored, and against small jobs that are refused because of large ones.
func TestLargeJobsAreBounded(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		n, other := c.process(0).node, c.process(1).node
		job := func(number, steps int) oleanderline.Job {
			j := oleanderline.Job{
				ID: oleanderline.JobID(fmt.Sprintf("%016x", number)), Queue: testQueue.ID, Policy: testQueue, Payload: "large",
				Steps: slices.Repeat([]oleanderline.Step{{Count: 1, Size: oleanderline.Size{CPU: 100, Memory: 50}}}, steps),
			}
			c.checker.Submitted(j)
			return j
		}
		const large = 150 // steps, which fit in a record of the test's log
		first := job(1, large)
		n.settings.LargeJobs = heldjobs.Size(&first)
		require.NoError(t, other.Submit(c.ctx, first))
		time.Sleep(time.Second) // until both processes have read the job
		require.ErrorIs(t, n.Submit(c.ctx, job(2, large)), oleanderline.ErrLargeJobs)
		require.NoError(t, n.Submit(c.ctx, first), "the job is stored")
		require.NoError(t, n.Submit(c.ctx, job(3, 1)))
		n.settings.LargeJobs = 0
		require.NoError(t, n.Submit(c.ctx, job(4, large)), "no limit")
	})
}
