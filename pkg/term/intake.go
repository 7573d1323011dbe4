package term

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// intakeInterval is the time between two verdicts on new jobs. A verdict counts the tasks of all jobs.
const intakeInterval = 200 * time.Millisecond

// updateIntake updates the verdict on new jobs after a scheduling pass. A verdict that refuses other jobs than the last one is stored
// with the next flush, others with the next heartbeat.
func (s *Session) updateIntake(now time.Time) {
	if state := s.planner.StartState(); state != plan.StartsForbidden {
		s.intake.Observe(state == plan.StartsHeld, now)
	}
	if now.Sub(s.intakeAt) < intakeInterval {
		return
	}
	s.intakeAt = now
	var waiting map[int]int
	if s.intake.Bound(now) {
		waiting = s.planner.Unstarted(now)
	}
	verdict := boundMemory(s.intake.Verdict(waiting, now), s.planner.HeldTasks())
	old := s.intakeVerdict.Swap(&verdict)
	if !sameRefusal(*old, verdict) {
		s.writer.wake()
		s.common.Event(common.EventIntake).WithField("refuse", verdict.Refuse).WithField("from", verdict.From).WithField("rate", verdict.Rate).
			WithField("waiting", waiting).WithField("held", s.planner.HeldTasks()).WithField("retry", seconds(time.Duration(verdict.RetryMS)*time.Millisecond)).
			Info("verdict on new jobs has changed")
	}
}

const (
	// maxHeldTasks is the number of tasks of accepted jobs from which on all new jobs are refused. A task takes 0.3 to 0.7 kB of the
	// leader's memory, and each leader after it holds the same tasks.
	maxHeldTasks = 150_000
	// heldRetry is when a job may come again that was refused for that reason.
	heldRetry = 5 * time.Second
)

// boundMemory returns a verdict that refuses all jobs if the tasks of accepted ones take up too much memory.
func boundMemory(verdict record.Intake, held int) record.Intake {
	if held <= maxHeldTasks {
		return verdict
	}
	verdict.Refuse, verdict.From = true, 0
	verdict.RetryMS = max(verdict.RetryMS, heldRetry.Milliseconds())
	return verdict
}

// sameRefusal reports whether two verdicts refuse the same jobs.
func sameRefusal(a, b record.Intake) bool { return a.Refuse == b.Refuse && a.From == b.From }
