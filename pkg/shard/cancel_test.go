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

// Guards against a burst of cancellations that needs one append for each of them, or that leaves some unanswered.
func TestBurstOfCancellationsTakesOneAppend(t *testing.T) {
	const jobs = 10_000
	sim := newSimulation(1, shard.Disabled{}, false)
	sim.faultFree = true
	for range 100 {
		sim.step(200 * time.Millisecond)
	}
	owner := sim.ownerOf(0)
	ids := make([]oleanderline.JobID, jobs)
	for n := range ids {
		ids[n] = oleanderline.JobID(fmt.Sprintf("0-%d", n))
		sim.feed(owner, 0, shard.Submit{Job: journal.Job{
			ID: ids[n], Key: fmt.Sprint(n), Team: "routes", Kind: oleanderline.KindCritical, Count: 1, Command: "serve",
			Size: oleanderline.Size{CPU: workerSize.CPU, Memory: workerSize.Memory},
		}})
	}
	for range 50 {
		sim.step(200 * time.Millisecond)
	}
	before := sim.cancelRecords(0)
	for _, id := range ids {
		sim.feed(owner, 0, shard.Cancel{Jobs: []oleanderline.JobID{id}})
	}
	for range 50 {
		sim.step(200 * time.Millisecond)
	}
	require.Equal(t, before+1, sim.cancelRecords(0))
	for _, id := range ids {
		status := owner.cores[0].JobStatus(id)
		require.Equal(t, 1, status.Cancelled, "%+v", status)
	}
}

// cancelRecords returns the number of cancel records in a stream.
func (s *simulation) cancelRecords(id int) int {
	n := 0
	for _, group := range s.groups[id] {
		for _, record := range group.List {
			if record.Kind == journal.KindCancel {
				n++
			}
		}
	}
	return n
}
