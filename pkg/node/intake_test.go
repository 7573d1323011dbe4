package node

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	startsPerSecond = 20                    // of the leader
	submitInterval  = 62 * time.Millisecond // with jobs of submittedTasks, eight times as many tasks a second as the leader can start
	submittedTasks  = 10
	submittedJobs   = 480
	// drainTime is enough to start the tasks that wait while jobs are refused, and to run the last of them. Starting the tasks of
	// all submitted jobs takes 200 s longer than their arrival.
	drainTime = 16 * time.Second
)

// intakeLoad counts the answers to submissions.
type intakeLoad struct {
	mu       sync.Mutex
	accepted int
	refused  []oleanderline.JobID
	shortest time.Duration // of the answers of RetryAfter to refused callers
	longest  time.Duration
	slowest  time.Duration // time until a refusal
}

// submitLoad submits jobs to all processes in turn, and waits for the answers.
func (c *testCell) submitLoad(size oleanderline.Size) *intakeLoad {
	load := &intakeLoad{shortest: time.Hour}
	var answers sync.WaitGroup
	for i := range submittedJobs {
		job := oleanderline.Job{
			ID: oleanderline.JobID(fmt.Sprintf("%016x", i+1)), Queue: testQueue.ID, Policy: testQueue, Payload: fmt.Sprint(i),
			Steps: []oleanderline.Step{{Count: submittedTasks, Size: size, Estimate: time.Second}},
		}
		c.checker.Submitted(job)
		answers.Go(func() { c.submitCounted(load, c.process(i%processCount).node, job) })
		time.Sleep(submitInterval)
	}
	answers.Wait()
	return load
}

func (c *testCell) submitCounted(load *intakeLoad, n *Node, job oleanderline.Job) {
	begun := time.Now()
	err := n.Submit(c.ctx, job)
	took, retry := time.Since(begun), n.RetryAfter()
	load.mu.Lock()
	defer load.mu.Unlock()
	switch {
	case err == nil:
		c.checker.Accepted(job.ID)
		load.accepted++
	case errors.Is(err, oleanderline.ErrOverloaded):
		load.refused = append(load.refused, job.ID)
		load.shortest, load.longest, load.slowest = min(load.shortest, retry), max(load.longest, retry), max(load.slowest, took)
	default:
		c.t.Errorf("job %s: %v", job.ID, err)
	}
}

// Guards against a backlog that grows for as long as more tasks arrive than the leader can start, so that accepted jobs wait although
// workers have room for them, and against a refusal of a job that is stored or runs.
func TestJobsThatCannotBeStartedInTimeAreRefused(t *testing.T) {
	for _, seed := range []uint64{0, 2} { // the leader serves all workers, or agents serve some
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				c := newTestCell(t, seed, commons, func(c *testCell) { c.starts = cellfake.NewPace(startsPerSecond) })
				defer c.close()
				time.Sleep(4 * time.Second) // until there is a leader
				load := c.submitLoad(oleanderline.Size{CPU: 100, Memory: 50})
				time.Sleep(drainTime)
				n := c.process(0).node
				c.requireFinished(n)
				require.Greater(t, load.accepted, submittedJobs/10)
				require.NotEmpty(t, load.refused)
				require.Less(t, load.slowest, 2*refreshTimeout)
				require.GreaterOrEqual(t, load.shortest, minRetryAfter)
				require.Greater(t, load.longest, minRetryAfter)
				require.LessOrEqual(t, load.longest, maxBacklogDelay)
				for _, id := range load.refused {
					_, err := n.State(c.ctx, testQueue.ID, id)
					require.ErrorIs(t, err, oleanderline.ErrUnknownJob)
				}
				c.submitTo(n, submittedJobs, oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 100, Memory: 50}})
			})
		})
	}
}

// Guards against jobs that are refused because the workers are full: they wait for room, as callers expect.
func TestJobsThatWaitForRoomAreNotRefused(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons, func(c *testCell) { c.starts = cellfake.NewPace(startsPerSecond) })
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		load := c.submitLoad(oleanderline.Size{CPU: 2000, Memory: 500})
		time.Sleep(time.Second)
		require.Empty(t, load.refused)
		require.Equal(t, submittedJobs, load.accepted)
	})
}

// setVerdict makes a process read a verdict on new jobs, from a leader whose records override those of the real one and that stores
// nothing more.
func (c *testCell) setVerdict(n *Node, verdict record.Intake) {
	rec, err := record.ForLeader(record.Leader{Term: 1 << 40, Intake: &verdict})
	require.NoError(c.t, err)
	n.replica.Apply(oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{rec}, Next: n.replica.NextOffset()}, time.Now(), time.Now())
}

// Guards against a job that is refused although it is stored, against jobs that go before the backlog and are refused, and against
// refusals that outlast the leader that asked for them.
func TestRefusalsFollowTheVerdict(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		n, other := c.process(0).node, c.process(1).node
		job := func(number, priority int) oleanderline.Job {
			queue := testQueue
			queue.Priority = priority
			j := oleanderline.Job{
				ID: oleanderline.JobID(fmt.Sprintf("%016x", number)), Queue: queue.ID, Policy: queue, Payload: fmt.Sprint(number),
				Steps: []oleanderline.Step{{Count: 1, Size: oleanderline.Size{CPU: 100, Memory: 50}, Estimate: time.Second}},
			}
			c.checker.Submitted(j)
			return j
		}
		c.setVerdict(n, record.Intake{Rate: 10, Refuse: true, From: 1, RetryMS: 4500})
		require.ErrorIs(t, n.Submit(c.ctx, job(1, 1)), oleanderline.ErrOverloaded)
		require.Equal(t, 4500*time.Millisecond, n.RetryAfter())
		require.NoError(t, n.Submit(c.ctx, job(2, 0)))
		repeated := job(3, 1)
		require.NoError(t, other.Submit(c.ctx, repeated))
		require.NoError(t, n.Submit(c.ctx, repeated))
		c.setVerdict(n, record.Intake{Rate: 10, Refuse: true, From: 1, RetryMS: time.Minute.Milliseconds()})
		require.Equal(t, maxBacklogDelay, n.RetryAfter())
		time.Sleep(maxIntakeAge)
		require.Equal(t, minRetryAfter, n.RetryAfter())
		require.NoError(t, n.Submit(c.ctx, job(4, 1)))
	})
}
