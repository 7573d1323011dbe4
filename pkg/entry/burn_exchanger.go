package entry

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// burnExchanger counts each call against the slo rule of its service when it ends: from its arrival to the last byte of
// its answer. Calls that their callers gave up or sent wrongly are not counted, nor those that got the answer of
// another attempt with the same idempotency key.
type burnExchanger struct {
	common     *common.Common
	inner      caller.Exchanger
	counter    *burn.Counter
	classifier *classifier
	minions    *minions
}

// Exchange implements caller.Exchanger.
func (x *burnExchanger) Exchange(ctx context.Context, call *caller.Call) (*caller.Reply, error) {
	reply, err := x.inner.Exchange(ctx, call)
	if err != nil {
		if !callersFault(ctx, err) {
			x.record(call, "", true)
		}
		return nil, err
	}
	counted := &burnBody{ReadCloser: reply.Body, exchanger: x, ctx: ctx, call: call}
	counted.failed = reply.Status >= http.StatusInternalServerError
	if body, ok := reply.Body.(*replyBody); ok {
		counted.minion = body.attempt.minion
	}
	reply.Body = counted
	return reply, nil
}

// callersFault reports whether a call ended because its caller left, or because of what the caller sent.
func callersFault(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	var problem *caller.Problem
	return errors.As(err, &problem) && problem.Status >= http.StatusBadRequest &&
		problem.Status < http.StatusInternalServerError
}

func (x *burnExchanger) record(call *caller.Call, id oleanderline.MinionID, failed bool) {
	now := x.common.Clock.Now()
	sample := burn.Sample{
		Service: call.Service,
		Minion:  id,
		Domain:  x.minions.domain(id),
		Latency: now.Sub(call.Arrived),
		Failed:  failed,
	}
	if class := x.classifier.find(call.Service, call.URL.Path); class != nil {
		sample.Class = class.Name
	}
	x.counter.Record(sample, now)
}

// burnBody passes an answer on and counts its call at the end. An answer that is closed before its end was given up by
// the caller.
type burnBody struct {
	io.ReadCloser
	exchanger *burnExchanger
	ctx       context.Context
	call      *caller.Call
	minion    oleanderline.MinionID
	failed    bool
	counted   bool
}

// Read implements io.Reader.
func (b *burnBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.counted {
		return n, err
	}
	b.counted = true
	broken := !errors.Is(err, io.EOF)
	if broken && errors.Is(b.ctx.Err(), context.Canceled) {
		return n, err
	}
	b.exchanger.record(b.call, b.minion, b.failed || broken)
	return n, err
}
