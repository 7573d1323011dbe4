package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a scheduled job that counts as missed when it is due, because it was handed in long before.
func TestObjectiveOfAScheduledJobCountsFromItsDueTime(t *testing.T) {
	c := newCell(t, 1)
	step := oleanderline.Step{Count: 1, Size: oleanderline.Size{CPU: 4000, Memory: 1000}, Estimate: time.Second}
	c.planner.AddJob(oleanderline.Job{
		ID: "a", Queue: "q", Steps: []oleanderline.Step{step}, Repeat: oleanderline.Repeat{Count: 1, First: c.now.Add(time.Hour)},
	}, record.Progress{}, c.now, 0)
	c.advance(time.Hour)
	c.reportAll()
	c.add("b", step)
	c.place()
	require.Len(t, c.runsOf(taskOf("a", 0, 0)), 1)
	require.Empty(t, c.runsOf(taskOf("b", 0, 0)))
}
