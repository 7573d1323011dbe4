package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
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

// Guards against batch work in capacity that operators hold.
func TestHoldKeepsBatchWorkOut(t *testing.T) {
	for _, without := range []bool{false, true} {
		t.Run(fmt.Sprintf("without=%t", without), func(t *testing.T) {
			w, owner := calmWorld(shard.Without{Holds: without})
			set, report := rules.Parse("hold cpu=50% domain=d-0 # gala\n")
			require.Empty(t, report.Errors)
			for _, p := range w.processes {
				for id := range p.cores {
					w.feed(p, id, shard.Rules{Set: set})
				}
			}
			job := whole(oleanderline.KindBatch, "0-a", 8*worldWorkers)
			job.Size = oleanderline.Size{CPU: 1000, Memory: 500}
			w.give(owner, job)
			w.pass(30 * time.Second)
			for _, h := range w.hosted() {
				require.Equal(t, without, h.Committed().CPU > workerSize.CPU/2, "%s runs %s", h.vm.ID, h.Committed())
			}
		})
	}
}
