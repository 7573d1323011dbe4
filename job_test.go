package oleanderline

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job whose number of tasks, times or sizes overflow, so that it passes every bound: each leader in turn ran out of
// memory when it expanded a job with 4 tasks and 2^63-1 occurrences.
func TestJobsBeyondTheBoundsAreRefused(t *testing.T) {
	type scenario struct {
		name  string
		alter func(job *Job)
		ok    bool
	}
	due := time.Unix(2e9, 0)
	for _, s := range []scenario{
		{"plain", func(*Job) {}, true},
		{"most tasks", func(j *Job) { j.Steps[0].Count = maxTasks }, true},
		{"too many tasks", func(j *Job) { j.Steps[0].Count = maxTasks + 1 }, false},
		{"too many tasks in two steps", func(j *Job) { j.Steps = append(j.Steps, Step{Count: maxTasks}) }, false},
		{"most occurrences", func(j *Job) { j.Repeat = Repeat{Count: maxTasks / 4, First: due, Every: time.Minute} }, true},
		{"too many occurrences", func(j *Job) { j.Repeat = Repeat{Count: maxTasks/4 + 1, First: due, Every: time.Minute} }, false},
		{"product of tasks and occurrences overflows to -4", func(j *Job) { j.Repeat = Repeat{Count: math.MaxInt64, First: due, Every: time.Minute} }, false},
		{"product of tasks and occurrences overflows to 0", func(j *Job) { j.Repeat = Repeat{Count: 1 << 62, First: due, Every: time.Minute} }, false},
		{"last occurrence beyond the range of durations", func(j *Job) { j.Repeat = Repeat{Count: 3, First: due, Every: math.MaxInt64} }, false},
		{"one occurrence, any interval", func(j *Job) { j.Repeat = Repeat{Count: 1, First: due, Every: math.MaxInt64} }, true},
		{"due in a year that cannot be stored", func(j *Job) { j.Repeat = Repeat{Count: 1, First: time.UnixMilli(math.MaxInt64)} }, false},
		{"due before the year 1", func(j *Job) { j.Repeat = Repeat{Count: 1, First: time.UnixMilli(math.MinInt64)} }, false},
		{"size whose sum overflows", func(j *Job) { j.Steps[0].Size.CPU = math.MaxInt64 }, false},
		{"memory whose sum overflows", func(j *Job) { j.Steps[0].Size.Memory = math.MaxInt64 }, false},
		{"accelerators whose sum overflows", func(j *Job) { j.Steps[0].Size.Accelerators = math.MaxInt64 }, false},
		{"estimate whose sum overflows", func(j *Job) { j.Steps[0].Estimate = math.MaxInt64 }, false},
		{"sum of estimates overflows", func(j *Job) {
			j.Steps[0].Estimate = maxSpan
			for range 3 {
				j.Steps = append(j.Steps, j.Steps[0])
			}
		}, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			job := Job{Steps: []Step{{Count: 4, Size: Size{CPU: 1000, Memory: 1000}, Estimate: time.Second}}}
			s.alter(&job)
			if s.ok {
				require.NoError(t, job.Validate())
				return
			}
			require.Error(t, job.Validate())
		})
	}
}
