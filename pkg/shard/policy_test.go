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

// calmWorld runs without faults until shard 0 has an owner with inventories, and returns the owner's process.
func calmWorld(without shard.Without) (*world, *process) {
	w := newWorld(1, without, false)
	w.calm = true
	w.pass(20 * time.Second)
	return w, w.ownerOf(0)
}

func (w *world) pass(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.step(100 * time.Millisecond)
	}
}

// give submits a job to shard 0 and returns its id.
func (w *world) give(p *process, job journal.Job) oleanderline.JobID {
	w.submitted = w.clock.Now()
	job.Key = fmt.Sprintf("%s-%s", job.ID, job.Command)
	job.Team = "routes"
	w.feed(p, 0, shard.Submit{Job: job})
	return job.ID
}

// hosted returns the workers of shard 0 in the order of their creation.
func (w *world) hosted() []*host {
	var own []*host
	for _, h := range w.hosts {
		if shard.ForWorker(h.vm, worldShards) == 0 {
			own = append(own, h)
		}
	}
	return own
}

func whole(kind oleanderline.TaskKind, id string, count int) journal.Job {
	return journal.Job{ID: oleanderline.JobID(id), Kind: kind, Count: count, Size: workerSize, Command: "serve"}
}

// Guards against urgent work that waits for batch work to end, and against preemption of latency-critical instances.
func TestUrgentTaskPreempts(t *testing.T) {
	scenarios := []struct {
		name    string
		kind    oleanderline.TaskKind
		without shard.Without
		want    int // urgent tasks that run
	}{
		{"batch", oleanderline.KindBatch, shard.Without{}, 1},
		{"critical", oleanderline.KindCritical, shard.Without{}, 0},
		{"switched off", oleanderline.KindBatch, shard.Without{Preempt: true}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w, owner := calmWorld(s.without)
			// More than the workers of all shards can run, so that the urgent task finds no room elsewhere.
			first := w.give(owner, whole(s.kind, "0-a", 3*worldWorkers))
			w.pass(20 * time.Second)
			urgent := whole(oleanderline.KindBatch, "0-u", 1)
			urgent.Urgent = true
			id := w.give(owner, urgent)
			w.pass(10 * time.Second)
			state := owner.cores[0].Why(oleanderline.TaskID(id + "/0")).State
			require.Equal(t, s.want == 1, state == "running", state)
			require.Equal(t, s.want, owner.cores[0].Counters().Preempted, "one task makes room")
			require.Equal(t, 3*worldWorkers, owner.cores[0].JobStatus(first).Waiting+owner.cores[0].JobStatus(first).Assigned)
		})
	}
}

// giveUnderRules puts rules in force at all processes, and submits more small batch tasks than the workers have room for.
func (w *world) giveUnderRules(t *testing.T, owner *process, text string) {
	t.Helper()
	set, report := rules.Parse(text)
	require.Empty(t, report.Errors)
	for _, p := range w.processes {
		for id := range p.cores {
			w.feed(p, id, shard.Rules{Set: set})
		}
	}
	job := whole(oleanderline.KindBatch, "0-a", 8*worldWorkers)
	job.Size = oleanderline.Size{CPU: 1000, Memory: 500}
	w.give(owner, job)
}

// Guards against batch work in capacity that operators hold.
func TestHoldKeepsBatchWorkOut(t *testing.T) {
	for _, without := range []bool{false, true} {
		t.Run(fmt.Sprintf("without=%t", without), func(t *testing.T) {
			w, owner := calmWorld(shard.Without{Holds: without})
			w.giveUnderRules(t, owner, "hold cpu=50% domain=d-0 # gala\n")
			w.pass(30 * time.Second)
			for _, h := range w.hosted() {
				require.Equal(t, without, h.Committed().CPU > workerSize.CPU/2, "%s runs %s", h.vm.ID, h.Committed())
			}
		})
	}
}

// Guards against a team that is committed to more than its portion, and against a refusal without a reason.
func TestQuotaBoundsATeam(t *testing.T) {
	for _, without := range []bool{false, true} {
		t.Run(fmt.Sprintf("without=%t", without), func(t *testing.T) {
			w, owner := calmWorld(shard.Without{Quotas: without})
			w.giveUnderRules(t, owner, "quota team=routes cpu=3 # depot planning\n")
			w.pass(5 * time.Second)
			var sum oleanderline.Size
			for _, h := range w.hosted() {
				sum = sum.Add(h.Committed())
			}
			require.Equal(t, without, sum.CPU > 3000, sum)
			require.NotZero(t, sum.CPU)
			answers := owner.cores[0].Step(shard.Submit{Job: whole(oleanderline.KindBatch, "0-b", 1)}, w.clock.Now())
			require.Empty(t, answers, "the team of the job has no quota")
			big := whole(oleanderline.KindBatch, "0-c", 1)
			big.Team = "routes"
			answers = owner.cores[0].Step(shard.Submit{Job: big}, w.clock.Now())
			require.Len(t, answers, 1)
			answer, ok := answers[0].(shard.Answer)
			require.True(t, ok)
			require.Equal(t, shard.Impossible, answer.Verdict)
			require.Contains(t, answer.Reason, "quota of team routes")
		})
	}
}

// Guards against a job that is tried for ever, and against an end without a reason.
func TestBadJobFailsForGood(t *testing.T) {
	w, owner := calmWorld(shard.Without{})
	job := whole(oleanderline.KindBatch, "0-bad", 1)
	job.Command = "fail"
	id := w.give(owner, job)
	var status shard.JobStatus
	for range 300 {
		w.step(100 * time.Millisecond)
		if status = owner.cores[0].JobStatus(id); status.Finished() {
			break
		}
	}
	require.Equal(t, 1, status.Failed, "%+v", status)
	require.NotEmpty(t, status.Reason)
	require.Equal(t, worldLimits().Failures, owner.cores[0].Counters().Failed)
}

// badWorker runs short jobs on six workers of which one fails everything, and returns the failures and the lost jobs.
func badWorker(t *testing.T, without shard.Without) (failures, lost int) {
	w, owner := calmWorld(without)
	for n := range 4 {
		w.boot(oleanderline.VM{
			ID: oleanderline.VMID(fmt.Sprintf("w-x%d", n)), Role: oleanderline.RoleWorker, Size: workerSize, Domain: "d-0",
			Address: fmt.Sprintf("10.0.1.%d:1", n), Rack: oleanderline.RackID(fmt.Sprintf("rack-%d", 10+2*n)),
		})
	}
	w.pass(10 * time.Second)
	require.Len(t, w.hosted(), 6)
	w.hosted()[0].SetFailing(true)
	failed := map[oleanderline.JobID]bool{}
	for n := range 120 {
		job := whole(oleanderline.KindBatch, fmt.Sprintf("0-%d", n), 1)
		job.Command = "sleep 1s"
		w.give(owner, job)
		w.pass(time.Second)
		for k := range n {
			id := oleanderline.JobID(fmt.Sprintf("0-%d", k))
			if owner.cores[0].JobStatus(id).Failed > 0 {
				failed[id] = true
			}
		}
	}
	return owner.cores[0].Counters().Failed, len(failed)
}

// Guards against a bad worker that goes on failing tasks of good jobs, and against jobs that are given up because of it.
func TestBadWorkerIsQuarantined(t *testing.T) {
	failures, lost := badWorker(t, shard.Without{})
	require.Zero(t, lost)
	require.Positive(t, failures)
	without, _ := badWorker(t, shard.Without{Quarantine: true})
	require.Less(t, failures, without/2, "%d failures with quarantine", failures)
	t.Logf("%d failures with quarantine, %d without", failures, without)
}

// Guards against a task of the size of a worker that waits for ever because small tasks take what becomes free.
func TestLargeTaskGetsAWorker(t *testing.T) {
	for _, without := range []bool{false, true} {
		t.Run(fmt.Sprintf("without=%t", without), func(t *testing.T) {
			w, owner := calmWorld(shard.Without{Clear: without})
			small := func(id, n int) {
				job := whole(oleanderline.KindBatch, fmt.Sprintf("%d-s%d", id, n), 1)
				job.Key, job.Team, job.Command = string(job.ID), "credits", fmt.Sprintf("sleep %ds", 9+n%5)
				job.Size = oleanderline.Size{CPU: 1000, Memory: 500}
				w.feed(w.ownerOf(id), id, shard.Submit{Job: job})
			}
			for n := range 60 {
				small(0, n)
				small(1, n)
			}
			w.pass(5 * time.Second)
			large := w.give(owner, whole(oleanderline.KindBatch, "0-large", 1))
			bound := 2 * queue.DefaultSettings().MaxWait
			for n := 60; n < 60+int(bound/time.Second); n++ {
				small(0, n)
				small(1, n)
				w.pass(time.Second)
			}
			state := owner.cores[0].Why(oleanderline.TaskID(large + "/0")).State
			require.Equal(t, !without, state == "running", state)
		})
	}
}

// noisy runs a latency-critical instance beside batch tasks while usage reports, which lag by 10 s, show a slowdown for
// three minutes, and returns what was done and the batch tasks that run of a job given two minutes after the end of the wave.
func noisy(without interference.Without) (shard.Counters, int) {
	w := newWorld(1, shard.Without{}, false)
	w.calm, w.guard = true, without
	until := w.clock.Now().Add(4 * time.Minute)
	for _, h := range w.hosts {
		slow := func(oleanderline.AttemptKey) float64 {
			if w.clock.Now().Before(until) {
				return 2.5
			}
			return 1
		}
		h.Worker = standin.NewWorker(oleanderline.WorkerID(h.vm.ID), h.vm.Size, w.clock, standin.WithUsageLag(10*time.Second), standin.WithSlowdown(slow))
	}
	for _, p := range w.processes {
		w.launch(p)
	}
	w.pass(20 * time.Second)
	owner := w.ownerOf(0)
	critical := whole(oleanderline.KindCritical, "0-c", len(w.hosted()))
	critical.Size = oleanderline.Size{CPU: 1000, Memory: 1000}
	w.give(owner, critical)
	w.pass(10 * time.Second)
	batch := whole(oleanderline.KindBatch, "0-b", 6)
	batch.Size = critical.Size
	w.give(owner, batch)
	w.pass(8 * time.Minute)
	later := batch
	later.ID = "0-d"
	w.give(owner, later)
	w.pass(10 * time.Second)
	return owner.cores[0].Counters(), runningHere(owner, "0-d", later.Count)
}

// runningHere counts the tasks of a job that run in shard 0.
func runningHere(p *process, id string, count int) int {
	n := 0
	for index := range count {
		if p.cores[0].Why(oleanderline.TaskID(fmt.Sprintf("%s/%d", id, index))).State == "running" {
			n++
		}
	}
	return n
}

// Guards against evictions that follow reports from before the last action, against a slowdown that nothing is done
// about, and against a VM that gets no batch work again after a wave.
func TestNoiseCausesAtMostOneEvictionPerVM(t *testing.T) {
	counters, running := noisy(interference.Without{})
	require.Positive(t, running)
	t.Logf("throttled %d, evicted %d", counters.Throttled, counters.Evicted)
	require.Positive(t, counters.Throttled)
	require.Positive(t, counters.Evicted)
	require.LessOrEqual(t, counters.Evicted, worldWorkers/worldShards)
	counters, _ = noisy(interference.Without{Hysteresis: true})
	require.Greater(t, counters.Evicted, worldWorkers/worldShards)
	t.Logf("without hysteresis: throttled %d, evicted %d", counters.Throttled, counters.Evicted)
	counters, _ = noisy(interference.Without{All: true})
	require.Zero(t, counters.Throttled)
}
