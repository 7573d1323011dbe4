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
	// joinWaitDivisor is the divisor of the call timeout that gives the time for which a home may delay its reply while
	// another attempt is running.
	joinWaitDivisor = 3
	// joinRetryDelay is the time before a request asks again, if no home can decide or another attempt is still running.
	joinRetryDelay = 25 * time.Millisecond
	// resultGrace is the time allowed after a request's deadline for its result to reach the home.
	resultGrace = 2 * time.Second
)

// keyedExchanger ensures that requests with the same idempotency key run at most once. Requests without a key and those
// with an idempotent method are forwarded without a check.
type keyedExchanger struct {
	common           *common.Common
	inner            caller.Exchanger
	keys             *keyStore
	resultSender     *resultSender
	settings         idempotency.Settings
	undecidedTimeout time.Duration   // how long to retry while no home can decide
	daemonCtx        context.Context // ends when the daemon shuts down
	lastToken        atomic.Uint64
	waiting          atomic.Int64 // requests that wait for another attempt with the same key
	disabled         disabledMechanisms
}

// Exchange implements caller.Exchanger.
func (x *keyedExchanger) Exchange(ctx context.Context, call *caller.Call) (*caller.Reply, error) {
	if call.Key == "" || call.Idempotent() || x.disabled.keyJoin {
		return x.inner.Exchange(ctx, call)
	}
	joinCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	args := JoinArgs{
		Key:      string(call.Service) + "\x00" + call.Key,
		Print:    fingerprint(call),
		Executor: x.keys.self,
		Token:    x.lastToken.Add(1),
		Wait:     x.keys.peers.timeout / joinWaitDivisor,
	}
	reply := x.joinUntilDecided(joinCtx, &args, call.Deadline)
	switch joinVerdict(reply.Verdict) {
	case joinRun:
		return x.run(ctx, call, args, reply.Holders)
	case joinEnded:
		if len(reply.Holders) > 0 {
			x.resultSender.release(args, reply.Holders)
		}
		return recordReply(reply.Record)
	default:
		x.resultSender.release(args, reply.Holders)
		return nil, joinProblem(joinVerdict(reply.Verdict))
	}
}

// joinUntilDecided asks the home until it decides, the caller's deadline passes, or no home could decide for
// undecidedTimeout.
func (x *keyedExchanger) joinUntilDecided(ctx context.Context, args *JoinArgs, deadline time.Time) JoinReply {
	start := x.common.Clock.Now()
	counted := false
	for {
		now := x.common.Clock.Now()
		args.For = deadline.Sub(now) + resultGrace
		reply := x.joinOnce(ctx, *args, now)
		verdict := joinVerdict(reply.Verdict)
		undecided := verdict == joinUnavailable || verdict == joinNotHome
		if verdict == joinWait && !counted {
			counted = true
			x.waiting.Add(1)
			defer x.waiting.Add(-1)
		}
		if !undecided && verdict != joinWait {
			return reply
		}
		if ctx.Err() != nil || (undecided && now.Sub(start) > x.undecidedTimeout) {
			return reply
		}
		timer := x.common.Clock.NewTimer(joinRetryDelay)
		select {
		case <-timer.C():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (x *keyedExchanger) joinOnce(ctx context.Context, args JoinArgs, now time.Time) JoinReply {
	if !x.keys.members.keysReady(now) {
		return verdictOnly(joinUnavailable)
	}
	home := x.keys.members.keyPlan(args.Key, now).home
	if home == x.keys.self.ID {
		return x.keys.join(ctx, args)
	}
	var reply JoinReply
	if err := x.keys.peers.call(ctx, home, "Join", args, &reply); err != nil {
		// The home may have permitted the attempt. A retry with the same token gets the permission again.
		return verdictOnly(joinUnavailable)
	}
	if joinVerdict(reply.Verdict) == joinRun {
		// The copy of the record at the sender survives a failure of the home.
		own, _ := x.keys.begin(args, nil)
		if joinVerdict(own.Verdict) != joinRun {
			own.Holders = reply.Holders
			return own
		}
	}
	return reply
}

// run sends the request. It continues when the caller disconnects, because other requests may wait for the result.
func (x *keyedExchanger) run(ctx context.Context, call *caller.Call, args JoinArgs, holders []oleanderline.VMID) (*caller.Reply, error) {
	if !slices.Contains(holders, x.keys.self.ID) {
		holders = append(holders, x.keys.self.ID)
	}
	result := &pendingResult{sender: x.resultSender, args: args, holders: holders}
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(x.daemonCtx, cancel)()
	reply, err := x.inner.Exchange(detached, call)
	if err != nil {
		var problem *caller.Problem
		if errors.As(err, &problem) && problem.Result == oleanderline.ResultNotRun {
			result.report(idempotency.Record{}, true)
		} else {
			result.report(idempotency.Record{State: idempotency.StateUnknown}, false)
		}
		return nil, err
	}
	reply.Body = &recordingBody{ReadCloser: reply.Body, reply: reply, result: result, limit: x.settings.MaxAnswerBytes}
	return reply, nil
}

// fingerprint returns a hash that detects different requests with the same key. Of a long body, only the part in memory
// is hashed.
func fingerprint(call *caller.Call) uint64 {
	h := fnv.New64a()
	for _, part := range []string{call.Method, call.URL.Path, call.URL.RawQuery} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body.Head())
	return h.Sum64()
}

// recordReply returns the reply to a request whose key has the result of an earlier attempt.
func recordReply(r idempotency.Record) (*caller.Reply, error) {
	switch {
	case r.State == idempotency.StateAnswered && r.Answer != nil:
		return &caller.Reply{
			Status:        r.Answer.Status,
			Header:        r.Answer.Header,
			ContentLength: int64(len(r.Answer.Body)),
			Body:          io.NopCloser(newBytesReader(r.Answer.Body)),
		}, nil
	case r.State == idempotency.StateAnswerDropped || r.State == idempotency.StateAnswered:
		return nil, keyProblem(http.StatusConflict, oleanderline.ResultUnknown, caller.ReasonKeyAnswerNotKept,
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
		return keyProblem(http.StatusConflict, oleanderline.ResultUnknown, caller.ReasonKeyHomeLost,
			"the entry that kept this key has died; the request may have run")
	case joinWait:
		return keyProblem(http.StatusGatewayTimeout, oleanderline.ResultUnknown, caller.Reason("timeout"),
			"another request with this key has not ended before the deadline")
	case joinTableFull:
		p := keyProblem(http.StatusServiceUnavailable, oleanderline.ResultNotRun, caller.ReasonKeysFull, "")
		p.RetryAfter = time.Second
		return p
	default:
		// This attempt did not run, but an earlier one with the key may have run. ResultNotRun would tell the caller that it
		// may send the request again without the key.
		p := keyProblem(http.StatusServiceUnavailable, oleanderline.ResultUnknown, caller.ReasonKeysUnavailable,
			"no entry can decide about the key now; retry with the same key")
		p.RetryAfter = time.Second
		return p
	}
}

func keyProblem(status int, result oleanderline.Result, reason caller.Reason, detail string) *caller.Problem {
	return &caller.Problem{Status: status, Result: result, Reason: reason, Detail: detail}
}
