package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

const (
	// joinHoldPart is the part of the time limit of a call to a peer for which a home holds back its reply while another
	// attempt runs.
	joinHoldPart = 3
	// joinPause is the time between two questions while no home can decide.
	joinPause = 25 * time.Millisecond
	// keyGrace covers the way of the result to the home.
	keyGrace = 2 * time.Second
)

// keyedExchanger lets requests with one idempotency key run once. Requests without a key, and those whose method is
// idempotent anyway, pass.
type keyedExchanger struct {
	common   *common.Common
	inner    caller.Exchanger
	home     *keyHome
	settler  *settler
	settings idempotency.Settings
	patience time.Duration   // how long to ask again while no home can decide
	life     context.Context // ends when the process is killed
	tokens   atomic.Uint64
	waiting  atomic.Int64 // requests that wait for another attempt with their key
	switches switches
}

// Exchange implements caller.Exchanger.
func (x *keyedExchanger) Exchange(ctx context.Context, call *caller.Call) (*caller.Reply, error) {
	if call.Key == "" || call.Idempotent() || x.switches.noJoin {
		return x.inner.Exchange(ctx, call)
	}
	waiting, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	args := JoinArgs{
		Key:      string(call.Service) + "\x00" + call.Key,
		Print:    fingerprint(call),
		Executor: x.home.self,
		Token:    x.tokens.Add(1),
		Wait:     x.home.peers.timeout / joinHoldPart,
	}
	reply := x.ask(waiting, &args, call.Deadline)
	switch joinVerdict(reply.Verdict) {
	case joinRun:
		return x.run(ctx, call, args, reply.Holders)
	case joinEnded:
		return recordReply(reply.Record)
	default:
		x.settler.release(args, reply.Holders)
		return nil, joinProblem(joinVerdict(reply.Verdict))
	}
}

// ask asks the home until it decides, the caller's deadline passes, or no home could decide for too long.
func (x *keyedExchanger) ask(ctx context.Context, args *JoinArgs, deadline time.Time) JoinReply {
	start := x.common.Clock.Now()
	waits := false
	for {
		now := x.common.Clock.Now()
		args.For = deadline.Sub(now) + keyGrace
		reply := x.askOnce(ctx, *args, now)
		verdict := joinVerdict(reply.Verdict)
		undecided := verdict == joinAway || verdict == joinNotTheHome
		if verdict == joinWait && !waits {
			waits = true
			x.waiting.Add(1)
			defer x.waiting.Add(-1)
		}
		if !undecided && verdict != joinWait {
			return reply
		}
		if ctx.Err() != nil || (undecided && now.Sub(start) > x.patience) {
			return reply
		}
		timer := x.common.Clock.NewTimer(joinPause)
		select {
		case <-timer.C():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (x *keyedExchanger) askOnce(ctx context.Context, args JoinArgs, now time.Time) JoinReply {
	if !x.home.members.keysReady(now) {
		return verdictOnly(joinAway)
	}
	home := x.home.members.plan(args.Key, now).home
	if home == x.home.self.ID {
		return x.home.join(ctx, args)
	}
	var reply JoinReply
	if err := x.home.peers.call(ctx, home, "Join", args, &reply); err != nil {
		// The home may have given the permission. Asking again with the same token gets it.
		return verdictOnly(joinAway)
	}
	if joinVerdict(reply.Verdict) == joinRun {
		// A copy at the sender survives the death of the home.
		own, _ := x.home.begin(args, nil)
		if joinVerdict(own.Verdict) != joinRun {
			return own
		}
	}
	return reply
}

// run sends the request. It goes on when the caller leaves, because others may wait for the result.
func (x *keyedExchanger) run(ctx context.Context, call *caller.Call, args JoinArgs, holders []oleanderline.VMID) (*caller.Reply, error) {
	if !slices.Contains(holders, x.home.self.ID) {
		holders = append(holders, x.home.self.ID)
	}
	s := &settlement{settler: x.settler, args: args, holders: holders}
	lasting, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(x.life, cancel)()
	reply, err := x.inner.Exchange(lasting, call)
	if err != nil {
		var problem *caller.Problem
		if errors.As(err, &problem) && problem.Result == oleanderline.ResultNotRun {
			s.end(idempotency.Record{}, true)
		} else {
			s.end(idempotency.Record{State: idempotency.StateUnknown}, false)
		}
		return nil, err
	}
	reply.Body = &capture{ReadCloser: reply.Body, reply: reply, settlement: s, limit: x.settings.AnswerBytes}
	return reply, nil
}

// fingerprint tells requests apart that use one key by mistake. Of a long body it covers the part in memory.
func fingerprint(call *caller.Call) uint64 {
	h := fnv.New64a()
	for _, part := range []string{call.Method, call.URL.Path, call.URL.RawQuery} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body.Head())
	return h.Sum64()
}

// recordReply turns the result of an earlier attempt into the reply to this one.
func recordReply(r idempotency.Record) (*caller.Reply, error) {
	switch {
	case r.State == idempotency.StateAnswered && r.Answer != nil:
		return &caller.Reply{
			Status:        r.Answer.Status,
			Header:        r.Answer.Header,
			ContentLength: int64(len(r.Answer.Body)),
			Body:          io.NopCloser(newBytesReader(r.Answer.Body)),
		}, nil
	case r.State == idempotency.StateDropped || r.State == idempotency.StateAnswered:
		return nil, keyProblem(http.StatusConflict, oleanderline.ResultUnknown, caller.ReasonKeyTooLarge,
			"the request with this key ran once and was answered; the answer is not kept")
	default:
		return nil, keyProblem(http.StatusConflict, oleanderline.ResultUnknown, caller.ReasonKeyUnknown,
			"the request with this key may have run; its answer is lost")
	}
}

func joinProblem(v joinVerdict) *caller.Problem {
	switch v {
	case joinMismatch:
		return keyProblem(http.StatusUnprocessableEntity, oleanderline.ResultNotRun, caller.ReasonKeyReused,
			"the key was used for another request")
	case joinHomeLost:
		return keyProblem(http.StatusConflict, oleanderline.ResultUnknown, caller.ReasonHomeLost,
			"the entry that kept this key has died; the request may have run")
	case joinWait:
		return keyProblem(http.StatusGatewayTimeout, oleanderline.ResultUnknown, caller.Reason("timeout"),
			"another request with this key has not ended before the deadline")
	case joinFull:
		p := keyProblem(http.StatusServiceUnavailable, oleanderline.ResultNotRun, caller.ReasonKeysFull, "")
		p.RetryAfter = time.Second
		return p
	default:
		// This attempt did not run, but an earlier one with the key may have: a caller that takes "not run" for the whole
		// request could send it again without the key.
		p := keyProblem(http.StatusServiceUnavailable, oleanderline.ResultUnknown, caller.ReasonKeysAway,
			"no entry can decide about the key now; retry with the same key")
		p.RetryAfter = time.Second
		return p
	}
}

func keyProblem(status int, result oleanderline.Result, reason caller.Reason, detail string) *caller.Problem {
	return &caller.Problem{Status: status, Result: result, Reason: reason, Detail: detail}
}
