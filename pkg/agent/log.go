package agent

import (
	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// outcomeStarted is the outcome of a start that the worker has accepted.
const outcomeStarted = "started"

// logStart logs the result of a start: one line for each start, so that the lines of a task show every process that may have
// started it.
func (s *session) logStart(result plan.Result) {
	s.starts.Add(1)
	outcome := outcomeStarted
	if result.Err != nil {
		outcome = result.Err.Error()
	}
	order := result.Order
	s.agent.common.Event(common.EventAgentStart).WithFields(logrus.Fields{
		"term": s.invitation.Term, "leader": s.invitation.Address, "task": order.Key.Task.String(), "run": order.Key.Run, "worker": order.Worker,
		"attempts": result.Attempts, "took": float64(result.Took.Milliseconds()) / 1000,
	}).Info(outcome)
}
