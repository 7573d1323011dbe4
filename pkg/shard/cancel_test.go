package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// Guards against a burst of cancellations that takes an append for each, or that delays its answers.
func TestBurstOfCancellationsTakesOneAppend(t *testing.T) {
	const jobs = 10_000
	w := newWorld(1, shard.Without{}, false)
	w.calm = true
	for range 100 {
		w.step(200 * time.Millisecond)
	}
	owner := w.ownerOf(0)
	ids := make([]oleanderline.JobID, jobs)
	for n := range ids {
		ids[n] = oleanderline.JobID(fmt.Sprintf("0-%d", n))
		w.feed(owner, 0, shard.Submit{Job: journal.Job{
			ID: ids[n], Key: fmt.Sprint(n), Team: "routes", Kind: oleanderline.KindCritical, Count: 1, Command: "serve",
			Size: oleanderline.Size{CPU: workerSize.CPU, Memory: workerSize.Memory},
		}})
	}
	for range 50 {
		w.step(200 * time.Millisecond)
	}
	before := w.cancelRecords(0)
	for _, id := range ids {
		w.feed(owner, 0, shard.Cancel{Jobs: []oleanderline.JobID{id}})
	}
	for range 50 {
		w.step(200 * time.Millisecond)
	}
	require.Equal(t, before+1, w.cancelRecords(0))
	for _, id := range ids {
		status := owner.cores[0].JobStatus(id)
		require.Equal(t, 1, status.Cancelled, "%+v", status)
	}
}

// cancelRecords counts the entries of a stream that hold a cancellation.
func (w *world) cancelRecords(id int) int {
	n := 0
	for _, group := range w.groups[id] {
		for _, record := range group.List {
			if record.Kind == journal.KindCancel {
				n++
			}
		}
	}
	return n
}
