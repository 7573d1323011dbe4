package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Guards against a shard that counts as idle, and so receives fewer ticks, while a caller waits for its record or while the
// shard is handed over.
func TestShardIsIdleOnlyWhileNothingWaits(t *testing.T) {
	sim := newSimulation(1, shard.Disabled{}, false)
	sim.faultFree = true
	settle := func() {
		for range 100 {
			sim.step(200 * time.Millisecond)
		}
	}
	settle()
	owner := sim.ownerOf(0)
	core := owner.cores[0]
	require.True(t, core.Idle())
	job := journal.Job{
		ID: "0-1", Key: "1", Team: "routes", Kind: oleanderline.KindCritical, Count: 1, Command: "serve",
		Size: oleanderline.Size{CPU: workerSize.CPU, Memory: workerSize.Memory},
	}
	sim.feed(owner, 0, shard.Submit{Job: job})
	require.False(t, core.Idle(), "the record of the job is not yet stored")
	settle()
	require.True(t, core.Idle(), "the task runs")
	sim.feed(owner, 0, shard.Cancel{Jobs: []oleanderline.JobID{job.ID}})
	require.False(t, core.Idle(), "the cancellation is not yet stored")
	settle()
	require.True(t, core.Idle())
	sim.feed(owner, 0, shard.Leave{})
	require.False(t, core.Idle())
}
