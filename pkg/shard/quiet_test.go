package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Guards against a shard that is ticked rarely while a caller waits for its record, or while it is handed over.
func TestAShardIsQuietOnlyWhileNothingWaits(t *testing.T) {
	w := newWorld(1, shard.Without{}, false)
	w.calm = true
	settle := func() {
		for range 100 {
			w.step(200 * time.Millisecond)
		}
	}
	settle()
	owner := w.ownerOf(0)
	core := owner.cores[0]
	require.True(t, core.Quiet())
	job := journal.Job{
		ID: "0-1", Key: "1", Team: "routes", Kind: oleanderline.KindCritical, Count: 1, Command: "serve",
		Size: oleanderline.Size{CPU: workerSize.CPU, Memory: workerSize.Memory},
	}
	w.feed(owner, 0, shard.Submit{Job: job})
	require.False(t, core.Quiet(), "the record of the job is not yet stored")
	settle()
	require.True(t, core.Quiet(), "the task runs")
	w.feed(owner, 0, shard.Cancel{Jobs: []oleanderline.JobID{job.ID}})
	require.False(t, core.Quiet(), "the cancellation is not yet stored")
	settle()
	require.True(t, core.Quiet())
	w.feed(owner, 0, shard.Leave{})
	require.False(t, core.Quiet())
}
