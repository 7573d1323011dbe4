package plan

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// newBacklog returns a planner with jobs of long-running tasks and of best-effort tasks that need more room than its workers have.
func newBacklog(workers, jobs int) *Planner {
	now := time.Unix(1000, 0)
	p := New(testSettings(), 1, now)
	p.SetConfig(testConfig)
	var entries []oleanderline.WorkerEntry
	for i := range workers {
		id := oleanderline.WorkerID(fmt.Sprintf("w%d", i))
		entries = append(entries, oleanderline.WorkerEntry{ID: id, Address: string(id), Pool: "pool", Capacity: oleanderline.Size{CPU: 32000, Memory: 128000}})
	}
	p.SetWorkers(entries, now)
	for _, entry := range entries {
		p.SetServed(entry.ID, true)
		p.Report(entry.ID, oleanderline.WorkerReport{Life: testIncarnation}, now, now)
	}
	_, ids, _ := p.Records()
	for _, id := range ids {
		p.WorkerRecorded(id)
	}
	for i := range workers / 4 {
		step := oleanderline.Step{Count: 14, Size: oleanderline.Size{CPU: 6400, Memory: 13000}, LongRunning: true, TailTarget: 45 * time.Millisecond, Image: fmt.Sprintf("s%d", i%5)}
		p.AddJob(oleanderline.Job{ID: oleanderline.JobID(fmt.Sprintf("l%d", i)), Queue: "q", Steps: []oleanderline.Step{step}}, record.Progress{}, now, 0)
	}
	for i := range jobs {
		step := oleanderline.Step{Count: 20, Size: oleanderline.Size{CPU: 3500, Memory: 6400}, BestEffort: true, Image: fmt.Sprintf("f%d", i%9)}
		p.AddJob(oleanderline.Job{ID: oleanderline.JobID(fmt.Sprintf("j%d", i)), Queue: "q", Steps: []oleanderline.Step{step}}, record.Progress{}, now, 0)
	}
	for s := range 5 {
		for f := range 9 {
			if (s+f)%3 == 0 {
				p.pairs.Observe(pairs.Observation{
					Serving: pairs.Image(fmt.Sprintf("s%d", s)), TargetRatio: 5, Steady: []pairs.Image{pairs.Image(fmt.Sprintf("f%d", f))},
				})
			}
		}
	}
	return p
}

// passLimit is the maximum CPU time of a pass. The leader's heartbeat waits for the pass and is due every 0.4 s, and the leader
// may have only a fifth of a core.
const passLimit = 40 * time.Millisecond

// Guards against a pass over a large backlog that takes so long that the leader's heartbeats are missed. A pass of 2.3 s with
// 490 workers caused a change of leader every two seconds.
func TestPassOverALargeBacklogIsShort(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	p := newBacklog(490, 400)
	now := time.Unix(1001, 0)
	longest := time.Duration(0)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		began := threadTime(t)
		p.Place(now, now, maxStartsPerPass)
		longest = max(longest, threadTime(t)-began)
		p.Orders()
		p.Notes()
	}
	t.Logf("longest pass: %s", longest)
	require.Less(t, longest, raceFactor*passLimit)
}

// Guards against passes that take the square of the number of steps of a job: with four jobs of 4,500 steps, each leader in turn was too
// slow for its heartbeats and lost its leadership.
func TestPassOverJobsOfManyStepsIsShort(t *testing.T) {
	type scenario struct {
		name string
		step func(index int) oleanderline.Step
	}
	step := oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 100, Memory: 10}, Estimate: 500 * time.Millisecond}
	for _, s := range []scenario{
		{"steps that wait for nothing", func(int) oleanderline.Step { return step }},
		{"steps that wait for the first one", func(index int) oleanderline.Step {
			later := step
			if index > 0 {
				later.After = []int{0}
			}
			return later
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			c := newCell(t, 40)
			const steps = 4500
			for job := range 4 {
				list := make([]oleanderline.Step, steps)
				for i := range list {
					list[i] = s.step(i)
				}
				c.add(oleanderline.JobID(fmt.Sprintf("j%d", job)), list...)
			}
			longest := time.Duration(0)
			for range 40 {
				c.now = c.now.Add(20 * time.Millisecond)
				began := threadTime(t)
				c.planner.Place(c.now, c.now, maxStartsPerPass)
				longest = max(longest, threadTime(t)-began)
				c.deliver()
				for _, w := range c.workers {
					for key := range w.running {
						w.end(key, oleanderline.EndDone)
					}
				}
				began = threadTime(t)
				c.reportAll()
				longest = max(longest, threadTime(t)-began)
			}
			t.Logf("longest pass or round of reports: %s", longest)
			require.Less(t, longest, raceFactor*passLimit)
		})
	}
}

// threadTime returns the CPU time of this thread, which does not depend on the load of the machine.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkPass measures a pass over a backlog for which no worker has room.
func BenchmarkPass(b *testing.B) {
	p := newBacklog(490, 400)
	now := time.Unix(1001, 0)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		p.Place(now, now, maxStartsPerPass)
	}
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		p.Place(now, now, maxStartsPerPass)
		p.Orders()
		p.Notes()
	}
}
