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

// exchanger brings calls to minions: it waits for the decision, sends, and sends again what did not run.
type exchanger struct {
	common     *common.Common
	dispatcher *dispatcher
	minions    *minions
	prober     *prober
	classifier *classifier
	refusing   atomic.Bool
	switches   switches
}

// attempt is one exchange with a minion and what came of it.
type attempt struct {
	ticket  *ticket
	minion  oleanderline.MinionID
	started time.Time
	answer  *minion.Answer
	failure *minion.Failure // nil with an answer
}

// Exchange implements caller.Exchanger.
func (x *exchanger) Exchange(ctx context.Context, call *caller.Call) (*caller.Reply, error) {
	if x.refusing.Load() {
		return nil, refusal(dispatch.Action{Reason: dispatch.ReasonStopping, RetryAfter: time.Second})
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	t := x.dispatcher.arrive(x.request(call))
	for {
		action, ok := x.dispatcher.wait(ctx, t)
		if !ok {
			return nil, withdrawn(ctx)
		}
		if action.Kind == dispatch.ActionRefuse {
			if action.Reason == dispatch.ReasonNoMinion && !x.minions.serves(call.Service) {
				return nil, unknownService(call.Service)
			}
			return nil, refusal(action.Action)
		}
		a := x.attempt(ctx, call, t, action)
		if a.failure == nil {
			return x.reply(a), nil
		}
		again := x.mayRepeat(ctx, call, a.failure)
		x.finish(a, again)
		if !again {
			return nil, failureProblem(a.failure)
		}
		x.dispatcher.retry(t)
	}
}

func (x *exchanger) request(call *caller.Call) dispatch.Request {
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
		r.Group = group(call.Method, call.URL.Path)
	}
	return r
}

// attempt sends the call to a minion, and to a second one if it may be hedged.
func (x *exchanger) attempt(ctx context.Context, call *caller.Call, t *ticket, sent decision) *attempt {
	if call.Idempotent() && call.Body.Whole() && !x.switches.noHedge {
		return x.race(ctx, call, t, sent)
	}
	return x.send(ctx, call, t, sent.Minion, false)
}

// send makes one exchange.
func (x *exchanger) send(ctx context.Context, call *caller.Call, t *ticket, id oleanderline.MinionID, fresh bool) *attempt {
	a := &attempt{ticket: t, minion: id, started: x.common.Clock.Now()}
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
		x.noteLeaving(id, true)
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

// noteLeaving tells the core what a minion says about itself.
func (x *exchanger) noteLeaving(id oleanderline.MinionID, leaving bool) {
	list := x.minions.setLeaving(id, leaving)
	if list == nil {
		return
	}
	x.common.Event(common.EventMinionLeaving).WithField("minion", string(id)).WithField("leaving", leaving).Info("minion says whether it leaves")
	x.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.SetMinions(list, now, actions)
	})
}

// mayRepeat reports whether the call may be sent again after a failure.
func (x *exchanger) mayRepeat(ctx context.Context, call *caller.Call, f *minion.Failure) bool {
	if ctx.Err() != nil || !call.Body.Replayable() || f.Cause == minion.CauseBody {
		return false
	}
	return f.Result == oleanderline.ResultNotRun || call.Idempotent()
}

// finish reports a failed attempt to the core. After a silence, the minion is asked on a fresh connection first, because
// only that tells a silent connection from a dead minion.
func (x *exchanger) finish(a *attempt, again bool) {
	finish := dispatch.Finish{
		Request: a.ticket.id,
		Minion:  a.minion,
		Result:  a.failure.Result,
		Failed:  a.failure.BlamesMinion(),
		Latency: x.common.Clock.Now().Sub(a.started),
	}
	if again || a.failure.Cause != minion.CauseTimeout {
		x.dispatcher.done(finish, again)
		return
	}
	x.prober.ask(a.minion, func(ok bool) {
		finish.Failed = !ok
		x.dispatcher.done(finish, false)
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
