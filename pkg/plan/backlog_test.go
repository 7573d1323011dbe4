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

// Guards against an objective that overflows to the past, so that the job counts as missed and waits behind all others.
func TestObjectiveDoesNotOverflow(t *testing.T) {
	j := &job{estimate: 100 * 365 * 24 * time.Hour, queue: oleanderline.Queue{Stretch: 1000, Latency: time.Second}}
	require.Positive(t, j.objective())
	require.Positive(t, lateFactor*j.objective())
}
