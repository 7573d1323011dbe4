package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Guards against a second run of a task whose completion arrives after its lease was taken as expired, but before the log
// has the record that frees it. In seed 14 of the schedules such a task was completed twice.
func TestLateOutcomeIsNotRunAgain(t *testing.T) {
	sim := newSimulation(1, shard.Disabled{}, false)
	sim.faultFree = true
	steps := func(d time.Duration) {
		for range d / (200 * time.Millisecond) {
			sim.step(200 * time.Millisecond)
		}
	}
	steps(20 * time.Second)
	owner := sim.ownerOf(0)
	job := oleanderline.JobID("0-late")
	sim.feed(owner, 0, shard.Submit{Job: journal.Job{
		ID: job, Key: "late", Team: "routes", Kind: oleanderline.KindBatch, Count: 1, Command: "sleep 3s",
		Size: oleanderline.Size{CPU: 1000, Memory: 1000},
	}})
	steps(2 * time.Second)
	require.Equal(t, 1, sim.runsOf(job), "the task has started")

	limits, now := simLimits(), sim.clock.Now()
	for id := range sim.workers {
		owner.cutFrom[id] = now.Add(limits.Lease + limits.Margin + 4*time.Second)
	}
	steps(limits.Lease)
	sim.logDownTo = now.Add(2 * (limits.Lease + limits.Margin))
	steps(limits.Lease + 3*limits.Margin)
	steps(20 * time.Second)

	require.Equal(t, 1, owner.cores[0].Counters().Expired, "the attempt was given up")
	require.Equal(t, 1, sim.checker.ends[job], "its completion is recorded")
	require.Equal(t, 1, sim.runsOf(job))
}

// runsOf returns the number of runs of a job's tasks.
func (s *simulation) runsOf(job oleanderline.JobID) int {
	n := 0
	for _, h := range s.hosts {
		for _, run := range h.Runs() {
			if jobOf(run.Task) == job {
				n++
			}
		}
	}
	return n
}
