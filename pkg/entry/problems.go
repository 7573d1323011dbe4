package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

// refusal is the problem of a request that the core refused.
func refusal(action dispatch.Action) *caller.Problem {
	retry := action.RetryAfter
	if retry <= 0 {
		retry = time.Second
	}
	return &caller.Problem{
		Result:     oleanderline.ResultNotRun,
		Status:     http.StatusServiceUnavailable,
		Reason:     caller.Reason(action.Reason),
		RetryAfter: retry,
	}
}

func unknownService(service oleanderline.ServiceID) *caller.Problem {
	return &caller.Problem{
		Result: oleanderline.ResultNotRun,
		Status: http.StatusNotFound,
		Reason: caller.ReasonNoService,
		Detail: fmt.Sprintf("service %q has no minions", service),
	}
}

// withdrawn is the problem of a request that ended while it waited for a minion.
func withdrawn(ctx context.Context) *caller.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(dispatch.Action{Reason: dispatch.ReasonDeadline})
	}
	return refusal(dispatch.Action{Reason: dispatch.Reason(minion.CauseCaller)})
}

// failureProblem is the problem of a request whose last exchange failed.
func failureProblem(f *minion.Failure) *caller.Problem {
	var own *caller.Problem
	if errors.As(f.Err, &own) {
		// The fault is in the caller's body; what the minion has made of its first part may be unknown.
		problem := *own
		problem.Result = f.Result
		return &problem
	}
	problem := &caller.Problem{Result: f.Result, Reason: caller.Reason(f.Cause), RetryAfter: f.RetryAfter}
	switch {
	case f.Result == oleanderline.ResultNotRun:
		problem.Status = http.StatusServiceUnavailable
		if problem.RetryAfter <= 0 {
			problem.RetryAfter = time.Second
		}
	case f.Cause == minion.CauseTimeout:
		problem.Status = http.StatusGatewayTimeout
	default:
		problem.Status = http.StatusBadGateway
	}
	return problem
}
