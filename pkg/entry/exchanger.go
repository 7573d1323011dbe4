package entry

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/minion"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// exchanger forwards calls to minions: it waits for the core's decision, sends the request, and retries it if that is
// safe.
type exchanger struct {
	common     *common.Common
	dispatcher *dispatcher
	minions    *minions
	prober     *prober
	classifier *classifier
	refusing   atomic.Bool
	disabled   disabledMechanisms
}

// attempt is one exchange with a minion and its result.
type attempt struct {
	request *pendingRequest
	minion  oleanderline.MinionID
	started time.Time
	answer  *minion.Answer
	failure *minion.Failure // nil if there is an answer
}

// Exchange implements caller.Exchanger.
func (x *exchanger) Exchange(ctx context.Context, call *caller.Call) (*caller.Reply, error) {
	if x.refusing.Load() {
		return nil, refusalProblem(dispatch.Action{Reason: dispatch.ReasonStopping, RetryAfter: time.Second})
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	pending := x.dispatcher.arrive(x.newRequest(call))
	for {
		chosen, ok := x.dispatcher.wait(ctx, pending)
		if !ok {
			return nil, cancelledProblem(ctx)
		}
		if chosen.Kind == dispatch.ActionRefuse {
			if chosen.Reason == dispatch.ReasonNoMinion && !x.minions.serves(call.Service) {
				return nil, unknownServiceProblem(call.Service)
			}
			return nil, refusalProblem(chosen.Action)
		}
		a := x.attempt(ctx, call, pending, chosen)
		if a.failure == nil {
			return x.reply(a), nil
		}
		retry := x.mayRetry(ctx, call, a.failure)
		x.reportFailure(a, retry)
		if !retry {
			return nil, failureProblem(a.failure)
		}
		x.dispatcher.retry(pending)
	}
}

func (x *exchanger) newRequest(call *caller.Call) dispatch.Request {
	r := dispatch.Request{
		Service:    call.Service,
		Priority:   rules.PriorityNormal,
		Idempotent: call.Idempotent(),
		Arrived:    call.Arrived,
		Deadline:   call.Deadline,
	}
	if class := x.classifier.find(call.Service, call.URL.Path); class != nil {
		r.Class, r.Priority, r.Long = class.Name, class.Priority, class.Long
	} else {
		r.Group = requestGroup(call.Method, call.URL.Path)
	}
	return r
}

// attempt sends the call to the chosen minion, with hedging if the call is idempotent and its body is in memory.
func (x *exchanger) attempt(ctx context.Context, call *caller.Call, pending *pendingRequest, chosen decision) *attempt {
	if call.Idempotent() && call.Body.InMemory() && !x.disabled.hedging {
		return x.hedge(ctx, call, pending, chosen)
	}
	return x.send(ctx, call, pending, chosen.Minion, false)
}

// send makes one exchange with a minion. If fresh is set, it uses a new connection.
func (x *exchanger) send(ctx context.Context, call *caller.Call, pending *pendingRequest, id oleanderline.MinionID, fresh bool) *attempt {
	a := &attempt{request: pending, minion: id, started: x.common.Clock.Now()}
	client := x.minions.get(id)
	if client == nil {
		a.failure = &minion.Failure{Result: oleanderline.ResultNotRun, Cause: minion.CauseLeaving}
		return a
	}
	answer, err := client.Send(ctx, &minion.Request{
		Method:        call.Method,
		URL:           call.URL,
		Host:          call.Host,
		Header:        call.Header,
		Body:          call.Body.Reader(),
		ContentLength: call.Body.Length,
		Idempotent:    call.Idempotent(),
		Fresh:         fresh,
	})
	if answer != nil && answer.Leaving {
		x.setLeaving(id, true)
	}
	if err != nil {
		var failure *minion.Failure
		if !errors.As(err, &failure) {
			failure = &minion.Failure{Cause: minion.CauseBroken, Err: err}
		}
		a.failure = failure
		return a
	}
	a.answer = answer
	return a
}

// setLeaving records whether a minion reports that it is leaving, and passes a change to the core.
func (x *exchanger) setLeaving(id oleanderline.MinionID, leaving bool) {
	list := x.minions.setReportedLeaving(id, leaving)
	if list == nil {
		return
	}
	x.common.Event(common.EventMinionLeaving).WithField("minion", string(id)).WithField("leaving", leaving).Info("minion reported a change of its leaving state")
	x.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.SetMinions(list, now, actions)
	})
}

// mayRetry reports whether the call may be retried after a failure.
func (x *exchanger) mayRetry(ctx context.Context, call *caller.Call, f *minion.Failure) bool {
	if ctx.Err() != nil || !call.Body.Replayable() || f.Cause == minion.CauseRequestBody {
		return false
	}
	return f.Result == oleanderline.ResultNotRun || call.Idempotent()
}

// reportFailure reports a failed attempt to the core. After a timeout without retry, the minion is probed on a new
// connection first: only that distinguishes a connection that no longer delivers data from a failed minion.
func (x *exchanger) reportFailure(a *attempt, retry bool) {
	completion := dispatch.Completion{
		Request: a.request.id,
		Minion:  a.minion,
		Result:  a.failure.Result,
		Failed:  a.failure.CountsForEjection(),
		Latency: x.common.Clock.Now().Sub(a.started),
	}
	if retry || a.failure.Cause != minion.CauseTimeout {
		x.dispatcher.done(completion, retry)
		return
	}
	x.prober.enqueue(a.minion, func(ok bool) {
		completion.Failed = !ok
		x.dispatcher.done(completion, false)
	})
}

func (x *exchanger) reply(a *attempt) *caller.Reply {
	return &caller.Reply{
		Status:        a.answer.Status,
		Header:        a.answer.Header,
		ContentLength: a.answer.ContentLength,
		Body:          &replyBody{exchanger: x, attempt: a},
		Trailer:       a.trailer,
	}
}

func (a *attempt) trailer() http.Header { return a.answer.Trailer() }
