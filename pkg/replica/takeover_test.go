package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// Guards against a task that runs again after its end was acknowledged: a process that could not store the end as the leader leads
// again, and acknowledges the end without a record.
func TestAnEndIsStoredByTheNextTermOfTheSameProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	r := replica.New(func(err error) { require.NoError(t, err) })
	job := oleanderline.Job{ID: "a", Queue: "q", Payload: "x", Steps: []oleanderline.Step{{Count: 3}}}
	progress := record.Progress{Started: true, Done: map[int][]byte{0: record.SetBit(nil, 0, 3)}}
	jobRecord, err := record.ForJob(&job)
	require.NoError(t, err)
	progressRecord, err := record.ForProgress("a", &progress)
	require.NoError(t, err)
	r.Load(oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{jobRecord, progressRecord}}, now, now)

	done := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a", Index: 1}, Run: 1}
	report := oleanderline.WorkerReport{Life: 1, Ended: []oleanderline.RunEnd{{Number: 1, Key: done, How: oleanderline.EndDone}}}
	for claims := 1; claims <= 2; claims++ { // the records of the first term are never stored
		p := plan.New(plan.Settings{}, claims, now)
		r.Jobs(func(entry replica.Entry) { p.AddJob(entry.Job, entry.Progress, now, 0) })
		p.SetWorkers([]oleanderline.WorkerEntry{{ID: "w"}}, now)
		p.Report("w", report, now, now)
		records, ends, err := p.Flush()
		require.NoError(t, err)
		require.Len(t, ends, 1, "term %d", claims)
		require.Len(t, records, 1, "the end is acknowledged without a record in term %d", claims)
	}
}
