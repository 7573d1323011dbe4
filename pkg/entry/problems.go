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

// refusalProblem returns the problem for a request that the core refused.
func refusalProblem(action dispatch.Action) *caller.Problem {
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

func unknownServiceProblem(service oleanderline.ServiceID) *caller.Problem {
	return &caller.Problem{
		Result: oleanderline.ResultNotRun,
		Status: http.StatusNotFound,
		Reason: caller.ReasonUnknownService,
		Detail: fmt.Sprintf("service %q has no minions", service),
	}
}

// cancelledProblem returns the problem for a request whose context ended while it waited for a minion.
func cancelledProblem(ctx context.Context) *caller.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusalProblem(dispatch.Action{Reason: dispatch.ReasonDeadline})
	}
	return refusalProblem(dispatch.Action{Reason: dispatch.Reason(minion.CauseCallerGone)})
}

// failureProblem returns the problem for a request whose last exchange failed.
func failureProblem(f *minion.Failure) *caller.Problem {
	var callerProblem *caller.Problem
	if errors.As(f.Err, &callerProblem) {
		// The caller's body is invalid. The result is that of the exchange, because the minion may have processed the first
		// part of the body.
		problem := *callerProblem
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
