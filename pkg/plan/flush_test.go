package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a job whose progress does not fit into a record of the log and stops all others: the log refuses it with all records of
// the same append, again and again.
func TestJobWhoseProgressDoesNotFitFails(t *testing.T) {
	c := newCell(t, 1)
	c.planner.settings.MaxRecord = 100
	failed := map[string][]int{"0.0": make([]int, 100)}
	c.planner.AddJob(oleanderline.Job{ID: "a", Queue: "q", Steps: []oleanderline.Step{{Count: 1, Size: testSize}}}, record.Progress{FailedRuns: failed}, c.now, 0)
	c.add("b", oleanderline.Step{Count: 1, Size: testSize})
	c.place()
	c.flush()
	states := map[string]oleanderline.JobState{}
	for _, rec := range c.stored {
		require.True(t, rec.Fits(100))
		if kind, id := record.ParseKey(rec.Key); kind == record.KindProgress {
			progress, err := record.Decode[record.Progress](rec)
			require.NoError(t, err)
			states[id] = progress.State
		}
	}
	require.Equal(t, map[string]oleanderline.JobState{"a": oleanderline.JobFailed, "b": oleanderline.JobPending}, states)
	require.False(t, c.planner.jobs["a"].active())
	require.True(t, c.planner.jobs["b"].active())
}
