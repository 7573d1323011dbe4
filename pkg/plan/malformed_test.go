package plan

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a panic of the leader on a report with an invalid task key, for which the computation of the task's index
// overflows.
func TestImpossibleTasksInReports(t *testing.T) {
	type scenario struct {
		name string
		key  oleanderline.TaskKey
	}
	for _, s := range []scenario{
		{"occurrence overflows", oleanderline.TaskKey{Job: "a", Occurrence: math.MaxInt / 2}},
		{"largest occurrence", oleanderline.TaskKey{Job: "a", Occurrence: math.MaxInt}},
		{"negative occurrence", oleanderline.TaskKey{Job: "a", Occurrence: -1}},
		{"negative step", oleanderline.TaskKey{Job: "a", Step: -1}},
		{"negative index", oleanderline.TaskKey{Job: "a", Index: -1}},
		{"index too high", oleanderline.TaskKey{Job: "a", Index: math.MaxInt}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, 1)
			step := oleanderline.Step{Count: 1, Size: testSize}
			c.add("a", step, step, step)
			key := oleanderline.RunKey{Task: s.key, Run: 1}
			report := oleanderline.WorkerReport{
				Life: testIncarnation, Running: []oleanderline.RunStatus{{Key: key}}, Ended: []oleanderline.RunEnd{{Number: 1, Key: key}},
			}
			require.NotPanics(t, func() { c.planner.Report("w0", report, c.now, c.now) })
		})
	}
}
