package term

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/record"
)

// Guards against accepted jobs that together take up more memory than a leader has, so that each leader in turn is killed, and against
// refusals without need.
func TestJobsAreRefusedWhileTooManyTasksAreHeld(t *testing.T) {
	type scenario struct {
		name          string
		verdict, want record.Intake
		held          int
	}
	for _, s := range []scenario{
		{"few", record.Intake{Rate: 100}, record.Intake{Rate: 100}, maxHeldTasks},
		{"too many", record.Intake{}, record.Intake{Refuse: true, RetryMS: 5000}, maxHeldTasks + 1},
		{"too many, and slow starts", record.Intake{Rate: 100, Refuse: true, From: 2, RetryMS: 9000}, record.Intake{Rate: 100, Refuse: true, RetryMS: 9000}, maxHeldTasks + 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.want, boundMemory(s.verdict, s.held))
		})
	}
}
