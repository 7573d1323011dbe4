package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against a wrong count of the tasks that wait for a start only, by which jobs are refused: tasks that wait for room or for
// their due time must not count, tasks of later steps must.
func TestUnstarted(t *testing.T) {
	const workers = 4 // with room for 16 tasks
	step := func(count int, after ...int) oleanderline.Step {
		return oleanderline.Step{Count: count, Size: testSize, Estimate: time.Second, After: after}
	}
	type scenario struct {
		name      string
		workers   int
		job       oleanderline.Job
		maxStarts int
		want      map[int]int
		state     StartState
	}
	for _, s := range []scenario{
		{"all started", workers, oleanderline.Job{Steps: []oleanderline.Step{step(4)}}, 256, map[int]int{0: 0}, StartsFree},
		{"later step", workers, oleanderline.Job{Steps: []oleanderline.Step{step(4), step(3, 0)}}, 256, map[int]int{0: 3}, StartsFree},
		{"held up", workers, oleanderline.Job{Steps: []oleanderline.Step{step(8), step(8)}}, 2, map[int]int{0: 14}, StartsHeld},
		{"no room", workers, oleanderline.Job{Steps: []oleanderline.Step{step(40)}}, 256, map[int]int{}, StartsFree},
		{"no start allowed", workers, oleanderline.Job{Steps: []oleanderline.Step{step(4)}}, 0, map[int]int{0: 4}, StartsHeld},
		{"not due", workers, oleanderline.Job{Steps: []oleanderline.Step{step(4)}, Repeat: oleanderline.Repeat{
			First: time.Unix(1000, 0).Add(time.Hour), Every: time.Hour, Count: 2,
		}}, 0, map[int]int{0: 0}, StartsFree},
		{"no workers", 0, oleanderline.Job{Steps: []oleanderline.Step{step(4)}}, 256, nil, StartsFree},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCell(t, s.workers)
			s.job.ID, s.job.Queue = "job", "q"
			c.planner.AddJob(s.job, record.Progress{}, c.now, 0)
			c.planner.Place(c.now, c.now, s.maxStarts)
			c.deliver()
			require.Equal(t, s.want, c.planner.Unstarted(c.now))
			require.Equal(t, s.state, c.planner.StartState())
		})
	}
}
