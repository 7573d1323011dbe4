package replica

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/heldjobs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

var now = time.Unix(1000, 0)

func jobRecord(t *testing.T, id oleanderline.JobID, payload string) oleanderline.KeyedRecord {
	t.Helper()
	rec, err := record.ForJob(&oleanderline.Job{ID: id, Queue: "q", Payload: payload, Steps: []oleanderline.Step{{Count: 1}}})
	require.NoError(t, err)
	return rec
}

func progressRecord(t *testing.T, id oleanderline.JobID, progress record.Progress) oleanderline.KeyedRecord {
	t.Helper()
	rec, err := record.ForProgress(id, &progress)
	require.NoError(t, err)
	return rec
}

// Guards against a job state that depends on the order in which pages of the newest records arrive, or that reverts to an
// earlier one.
func TestStateOfAJob(t *testing.T) {
	type scenario struct {
		name    string
		records []oleanderline.KeyedRecord
		want    oleanderline.JobState
	}
	started := record.Progress{Started: true}
	completed := record.Progress{Started: true, State: oleanderline.JobCompleted}
	for _, s := range []scenario{
		{"stored", []oleanderline.KeyedRecord{jobRecord(t, "a", "x")}, oleanderline.JobPending},
		{"started", []oleanderline.KeyedRecord{jobRecord(t, "a", "x"), progressRecord(t, "a", started)}, oleanderline.JobRunning},
		{"progress first", []oleanderline.KeyedRecord{progressRecord(t, "a", started), jobRecord(t, "a", "x")}, oleanderline.JobRunning},
		{"cancelled", []oleanderline.KeyedRecord{jobRecord(t, "a", "x"), record.ForCancel("a")}, oleanderline.JobCancelled},
		{"completed, then cancelled", []oleanderline.KeyedRecord{jobRecord(t, "a", "x"), progressRecord(t, "a", completed), record.ForCancel("a")}, oleanderline.JobCompleted},
		{"cancelled, then completed", []oleanderline.KeyedRecord{jobRecord(t, "a", "x"), record.ForCancel("a"), progressRecord(t, "a", completed)}, oleanderline.JobCancelled},
	} {
		t.Run(s.name, func(t *testing.T) {
			for i := range s.records {
				s.records[i].Offset = oleanderline.Offset(i)
			}
			for _, reversed := range []bool{false, true} {
				r := New(func(err error) { require.NoError(t, err) })
				r.Load(oleanderline.KeyedBatch{Records: s.records, Next: 9}, now, now)
				entry, ok := r.Job("a")
				require.True(t, ok)
				require.Equal(t, s.want, entry.State(), "reversed: %v", reversed)
				require.Equal(t, oleanderline.Offset(9), r.NextOffset())
				slices.Reverse(s.records) // pages of the newest records arrive in any order
			}
		})
	}
}

// Guards against a second submission with the same id that replaces the first, and against a malformed record that keeps later
// ones from being applied.
func TestFirstSubmissionCounts(t *testing.T) {
	var malformed []error
	r := New(func(err error) { malformed = append(malformed, err) })
	r.Apply(oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{
		jobRecord(t, "a", "first"), jobRecord(t, "a", "second"), {Key: "p/a", Value: []byte("{")}, {Key: "unknown", Value: []byte("x")},
	}}, now, now)
	entry, ok := r.Job("a")
	require.True(t, ok)
	require.Equal(t, "first", entry.Job.Payload)
	require.Len(t, malformed, 1)
}

// Guards against finished jobs that expire before the retention time, or never.
func TestFinishedJobsExpire(t *testing.T) {
	r := New(func(err error) { require.NoError(t, err) })
	r.Apply(oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{
		jobRecord(t, "a", "x"), jobRecord(t, "b", "x"), progressRecord(t, "a", record.Progress{State: oleanderline.JobFailed}),
	}}, now, now)
	require.Empty(t, r.Expired(now.Add(time.Minute), time.Minute))
	require.Equal(t, []oleanderline.JobID{"a"}, r.Expired(now.Add(time.Minute+1), time.Minute))
	r.Apply(oleanderline.KeyedBatch{Records: record.DropJob("a")}, now, now)
	_, ok := r.Job("a")
	require.False(t, ok)
}

// Guards against a retention that begins anew whenever all records are read again, so that finished jobs are kept for longer than
// promised memory allows.
func TestLoadKeepsTheRetention(t *testing.T) {
	r := New(func(err error) { require.NoError(t, err) })
	batch := oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{
		jobRecord(t, "a", "x"), progressRecord(t, "a", record.Progress{State: oleanderline.JobFailed}),
	}}
	r.Load(batch, now, now)
	r.Load(batch, now.Add(time.Minute), now.Add(time.Minute))
	require.Equal(t, []oleanderline.JobID{"a"}, r.Expired(now.Add(time.Minute+1), time.Minute))
}

// Guards against memory of large jobs that still counts after they were removed, or counts twice.
func TestLargeJobsAreCountedWhileTheyAreKept(t *testing.T) {
	r := New(func(err error) { require.NoError(t, err) })
	large := oleanderline.Job{ID: "1", Payload: strings.Repeat("x", 100_000), Steps: []oleanderline.Step{{Count: 1}}}
	small := oleanderline.Job{ID: "2", Payload: "x", Steps: []oleanderline.Step{{Count: 1}}}
	apply := func(recs ...oleanderline.KeyedRecord) {
		r.Apply(oleanderline.KeyedBatch{Records: recs}, time.Unix(1, 0), time.Unix(1, 0))
	}
	first, err := record.ForJob(&large)
	require.NoError(t, err)
	second, err := record.ForJob(&small)
	require.NoError(t, err)
	apply(first, second, first)
	require.Equal(t, heldjobs.Size(&large), r.LargeJobs())
	r.Load(oleanderline.KeyedBatch{Records: []oleanderline.KeyedRecord{first}}, time.Unix(2, 0), time.Unix(2, 0))
	require.Equal(t, heldjobs.Size(&large), r.LargeJobs())
	apply(oleanderline.KeyedRecord{Key: first.Key})
	require.Zero(t, r.LargeJobs())
}
