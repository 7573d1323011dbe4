package speculation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against second runs that gain nothing, that the job does not need, or that use up its attempts.
func TestWorthwhile(t *testing.T) {
	slow := Run{Remaining: 5 * time.Second, New: time.Second, Waited: time.Second, Objective: 4 * time.Second}
	type scenario struct {
		name   string
		change func(*Run)
		want   bool
	}
	for _, s := range []scenario{
		{"slow run of a job that would be late", func(*Run) {}, true},
		{"long task, which takes as long elsewhere", func(r *Run) { r.New = 6 * time.Second }, false},
		{"little to gain", func(r *Run) { r.Remaining = 1900 * time.Millisecond; r.Objective = time.Second }, false},
		{"short tasks", func(r *Run) { r.Remaining, r.New, r.Objective = 300*time.Millisecond, 50*time.Millisecond, 0 }, false},
		{"job in time anyway", func(r *Run) { r.Objective = 6 * time.Second }, false},
		{"job late because of its later steps", func(r *Run) { r.Objective, r.After = 6*time.Second, 2*time.Second }, true},
		{"job missed anyway", func(r *Run) { r.Waited = time.Minute }, false},
		{"task has failed before", func(r *Run) { r.Failures = 1 }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			r := slow
			s.change(&r)
			require.Equal(t, s.want, r.Worthwhile())
		})
	}
}
