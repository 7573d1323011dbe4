package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// faultFreeSimulation runs without faults until shard 0 has an owner that has read the inventories, and returns the owner's
// process.
func faultFreeSimulation(disabled shard.Disabled) (*simulation, *process) {
	sim := newSimulation(1, disabled, false)
	sim.faultFree = true
	sim.advance(20 * time.Second)
	return sim, sim.ownerOf(0)
}

func (s *simulation) advance(d time.Duration) {
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.step(100 * time.Millisecond)
	}
}

// submit submits a job to shard 0 and returns its id.
func (s *simulation) submit(p *process, job journal.Job) oleanderline.JobID {
	s.lastNewKeyAt = s.clock.Now()
	job.Key = fmt.Sprintf("%s-%s", job.ID, job.Command)
	job.Team = "routes"
	s.feed(p, 0, shard.Submit{Job: job})
	return job.ID
}

// shardHosts returns the workers of shard 0 in the order of their creation.
func (s *simulation) shardHosts() []*host {
	var own []*host
	for _, h := range s.hosts {
		if shard.ForWorker(h.vm, simShards) == 0 {
			own = append(own, h)
		}
	}
	return own
}

func fullSizeJob(kind oleanderline.TaskKind, id string, count int) journal.Job {
	return journal.Job{ID: oleanderline.JobID(id), Kind: kind, Count: count, Size: workerSize, Command: "serve"}
}

// Guards against urgent tasks that wait for batch tasks to end, and against preemption of latency-critical instances.
func TestUrgentTaskPreempts(t *testing.T) {
	scenarios := []struct {
		name     string
		kind     oleanderline.TaskKind
		disabled shard.Disabled
		want     int // urgent tasks that run
	}{
		{"batch", oleanderline.KindBatch, shard.Disabled{}, 1},
		{"critical", oleanderline.KindCritical, shard.Disabled{}, 0},
		{"preemption disabled", oleanderline.KindBatch, shard.Disabled{Preempt: true}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			sim, owner := faultFreeSimulation(s.disabled)
			// More than the workers of all shards can run, so that the urgent task finds no room elsewhere.
			first := sim.submit(owner, fullSizeJob(s.kind, "0-a", 3*simWorkers))
			sim.advance(20 * time.Second)
			urgent := fullSizeJob(oleanderline.KindBatch, "0-u", 1)
			urgent.Urgent = true
			id := sim.submit(owner, urgent)
			sim.advance(10 * time.Second)
			state := owner.cores[0].Explain(oleanderline.TaskID(id + "/0")).State
			require.Equal(t, s.want == 1, state == "running", state)
			require.Equal(t, s.want, owner.cores[0].Counters().Preempted, "one task makes room")
			require.Equal(t, 3*simWorkers, owner.cores[0].JobStatus(first).Waiting+owner.cores[0].JobStatus(first).Assigned)
		})
	}
}

// submitUnderRules puts rules in force at all processes, and submits more small batch tasks than the workers can run.
func (s *simulation) submitUnderRules(t *testing.T, owner *process, text string) {
	t.Helper()
	set, report := rules.Parse(text)
	require.Empty(t, report.Errors)
	for _, p := range s.processes {
		for id := range p.cores {
			s.feed(p, id, shard.Rules{Set: set})
		}
	}
	job := fullSizeJob(oleanderline.KindBatch, "0-a", 8*simWorkers)
	job.Size = oleanderline.Size{CPU: 1000, Memory: 500}
	s.submit(owner, job)
}

// Guards against batch tasks in capacity that operators hold.
func TestHoldKeepsBatchWorkOut(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("disabled=%t", disabled), func(t *testing.T) {
			sim, owner := faultFreeSimulation(shard.Disabled{Holds: disabled})
			sim.submitUnderRules(t, owner, "hold cpu=50% domain=d-0 # gala\n")
			sim.advance(30 * time.Second)
			for _, h := range sim.shardHosts() {
				require.Equal(t, disabled, h.Committed().CPU > workerSize.CPU/2, "%s runs %s", h.vm.ID, h.Committed())
			}
		})
	}
}

// Guards against a team that commits more than its portion of the quota, and against a refusal without a reason.
func TestQuotaBoundsATeam(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("disabled=%t", disabled), func(t *testing.T) {
			sim, owner := faultFreeSimulation(shard.Disabled{Quotas: disabled})
			sim.submitUnderRules(t, owner, "quota team=routes cpu=3 # depot planning\n")
			sim.advance(5 * time.Second)
			var sum oleanderline.Size
			for _, h := range sim.shardHosts() {
				sum = sum.Add(h.Committed())
			}
			require.Equal(t, disabled, sum.CPU > 3000, sum)
			require.NotZero(t, sum.CPU)
			answers := owner.cores[0].Step(shard.Submit{Job: fullSizeJob(oleanderline.KindBatch, "0-b", 1)}, sim.clock.Now())
			require.Empty(t, answers, "the team of the job has no quota")
			big := fullSizeJob(oleanderline.KindBatch, "0-c", 1)
			big.Team = "routes"
			answers = owner.cores[0].Step(shard.Submit{Job: big}, sim.clock.Now())
			require.Len(t, answers, 1)
			answer, ok := answers[0].(shard.Answer)
			require.True(t, ok)
			require.Equal(t, shard.Impossible, answer.Verdict)
			require.Contains(t, answer.Reason, "quota of team routes")
		})
	}
}

// Guards against a failing job that is retried for ever, and against a failure without a reason.
func TestBadJobFailsForGood(t *testing.T) {
	sim, owner := faultFreeSimulation(shard.Disabled{})
	job := fullSizeJob(oleanderline.KindBatch, "0-bad", 1)
	job.Command = "fail"
	id := sim.submit(owner, job)
	var status shard.JobStatus
	for range 300 {
		sim.step(100 * time.Millisecond)
		if status = owner.cores[0].JobStatus(id); status.Finished() {
			break
		}
	}
	require.Equal(t, 1, status.Failed, "%+v", status)
	require.NotEmpty(t, status.Reason)
	require.Equal(t, simLimits().MaxFailures, owner.cores[0].Counters().Failed)
}

// runWithFailingWorker runs short jobs on six workers, at one of which every task fails. It returns the number of failed
// attempts and of failed jobs.
func runWithFailingWorker(t *testing.T, disabled shard.Disabled) (failures, failedJobs int) {
	sim, owner := faultFreeSimulation(disabled)
	for n := range 4 {
		sim.boot(oleanderline.VM{
			ID: oleanderline.VMID(fmt.Sprintf("w-x%d", n)), Role: oleanderline.RoleWorker, Size: workerSize, Domain: "d-0",
			Address: fmt.Sprintf("10.0.1.%d:1", n), Rack: oleanderline.RackID(fmt.Sprintf("rack-%d", 10+2*n)),
		})
	}
	sim.advance(10 * time.Second)
	require.Len(t, sim.shardHosts(), 6)
	sim.shardHosts()[0].SetFailing(true)
	failed := map[oleanderline.JobID]bool{}
	for n := range 120 {
		job := fullSizeJob(oleanderline.KindBatch, fmt.Sprintf("0-%d", n), 1)
		job.Command = "sleep 1s"
		sim.submit(owner, job)
		sim.advance(time.Second)
		for k := range n {
			id := oleanderline.JobID(fmt.Sprintf("0-%d", k))
			if owner.cores[0].JobStatus(id).Failed > 0 {
				failed[id] = true
			}
		}
	}
	return owner.cores[0].Counters().Failed, len(failed)
}

// Guards against a faulty worker that keeps failing tasks of good jobs, and against good jobs that fail for good because of
// it.
func TestBadWorkerIsQuarantined(t *testing.T) {
	failures, failedJobs := runWithFailingWorker(t, shard.Disabled{})
	require.Zero(t, failedJobs)
	require.Positive(t, failures)
	disabledFailures, _ := runWithFailingWorker(t, shard.Disabled{Quarantine: true})
	require.Less(t, failures, disabledFailures/2, "%d failures with quarantine", failures)
	t.Logf("%d failures with quarantine, %d without", failures, disabledFailures)
}

// Guards against starvation of a task as large as a worker, when small tasks take all capacity that becomes free.
func TestLargeTaskGetsAWorker(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("disabled=%t", disabled), func(t *testing.T) {
			sim, owner := faultFreeSimulation(shard.Disabled{StarvationReserve: disabled})
			small := func(id, n int) {
				job := fullSizeJob(oleanderline.KindBatch, fmt.Sprintf("%d-s%d", id, n), 1)
				job.Key, job.Team, job.Command = string(job.ID), "credits", fmt.Sprintf("sleep %ds", 9+n%5)
				job.Size = oleanderline.Size{CPU: 1000, Memory: 500}
				sim.feed(sim.ownerOf(id), id, shard.Submit{Job: job})
			}
			for n := range 60 {
				small(0, n)
				small(1, n)
			}
			sim.advance(5 * time.Second)
			large := sim.submit(owner, fullSizeJob(oleanderline.KindBatch, "0-large", 1))
			bound := 2 * queue.DefaultSettings().MaxWait
			for n := 60; n < 60+int(bound/time.Second); n++ {
				small(0, n)
				small(1, n)
				sim.advance(time.Second)
			}
			state := owner.cores[0].Explain(oleanderline.TaskID(large + "/0")).State
			require.Equal(t, !disabled, state == "running", state)
		})
	}
}

// runWithInterference runs a latency-critical instance beside batch tasks. For three minutes the usage reports, which lag by
// 10 s, show a slowdown. It returns the owner's counters, and how many batch tasks run of a job that is submitted two
// minutes after the slowdown has ended.
func runWithInterference(disabled interference.Disabled) (shard.Counters, int) {
	sim := newSimulation(1, shard.Disabled{}, false)
	sim.faultFree, sim.guardDisabled = true, disabled
	until := sim.clock.Now().Add(4 * time.Minute)
	for _, h := range sim.hosts {
		slow := func(oleanderline.AttemptKey) float64 {
			if sim.clock.Now().Before(until) {
				return 2.5
			}
			return 1
		}
		h.Worker = standin.NewWorker(oleanderline.WorkerID(h.vm.ID), h.vm.Size, sim.clock, standin.WithUsageLag(10*time.Second), standin.WithSlowdown(slow))
	}
	for _, p := range sim.processes {
		sim.launch(p)
	}
	sim.advance(20 * time.Second)
	owner := sim.ownerOf(0)
	critical := fullSizeJob(oleanderline.KindCritical, "0-c", len(sim.shardHosts()))
	critical.Size = oleanderline.Size{CPU: 1000, Memory: 1000}
	sim.submit(owner, critical)
	sim.advance(10 * time.Second)
	batch := fullSizeJob(oleanderline.KindBatch, "0-b", 6)
	batch.Size = critical.Size
	sim.submit(owner, batch)
	sim.advance(8 * time.Minute)
	later := batch
	later.ID = "0-d"
	sim.submit(owner, later)
	sim.advance(10 * time.Second)
	return owner.cores[0].Counters(), runningTasks(owner, "0-d", later.Count)
}

// runningTasks returns the number of tasks of a job that run in shard 0.
func runningTasks(p *process, id string, count int) int {
	n := 0
	for index := range count {
		if p.cores[0].Explain(oleanderline.TaskID(fmt.Sprintf("%s/%d", id, index))).State == "running" {
			n++
		}
	}
	return n
}

// Guards against evictions that are based on reports from before the last action, against a slowdown without any action, and
// against a VM that receives no batch tasks after the slowdown has ended.
func TestNoiseCausesAtMostOneEvictionPerVM(t *testing.T) {
	counters, running := runWithInterference(interference.Disabled{})
	require.Positive(t, running)
	t.Logf("throttled %d, evicted %d", counters.Throttled, counters.Evicted)
	require.Positive(t, counters.Throttled)
	require.Positive(t, counters.Evicted)
	require.LessOrEqual(t, counters.Evicted, simWorkers/simShards)
	counters, _ = runWithInterference(interference.Disabled{Hysteresis: true})
	require.Greater(t, counters.Evicted, simWorkers/simShards)
	t.Logf("without hysteresis: throttled %d, evicted %d", counters.Throttled, counters.Evicted)
	counters, _ = runWithInterference(interference.Disabled{All: true})
	require.Zero(t, counters.Throttled)
}
