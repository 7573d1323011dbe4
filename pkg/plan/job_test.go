package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a planner that changes the recorded progress of a job, from which the next leader in the same process would take
// ends for recorded that were never stored.
func TestRecordedProgressIsNotChanged(t *testing.T) {
	progress := func() record.Progress {
		return record.Progress{Started: true, Done: map[int][]byte{0: {1}}, FailedRuns: map[string][]int{"0.1": append(make([]int, 0, 4), 1)}}
	}
	recorded := progress()
	c := newCell(t, 1)
	c.planner.AddJob(oleanderline.Job{ID: "a", Queue: "q", Steps: []oleanderline.Step{{Count: 4, Size: testSize}}}, recorded, c.now, 0)
	c.place()
	c.endTask(taskOf("a", 0, 2), oleanderline.EndDone)
	c.endTask(taskOf("a", 0, 3), oleanderline.EndFailed)
	c.reportAll()
	require.NotEqual(t, progress(), c.planner.jobs["a"].progress)
	require.Equal(t, progress(), recorded)
}
