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

// burnExchanger records the result and the latency of each call for the error budget of the service's slo rule. The
// latency counts from the arrival of the request to the last byte of the answer. Not counted are calls that the caller
// cancelled, invalid calls, and calls that got the stored answer of an earlier attempt with the same idempotency key.
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
		if !isCallerError(ctx, err) {
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

// isCallerError reports whether a call failed because the caller cancelled it or sent an invalid request.
func isCallerError(ctx context.Context, err error) bool {
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

// burnBody is the body of an answer that records the call when the body has been read. A body that is closed before its
// end was cancelled by the caller and is not recorded.
type burnBody struct {
	io.ReadCloser
	exchanger *burnExchanger
	ctx       context.Context
	call      *caller.Call
	minion    oleanderline.MinionID
	failed    bool
	recorded  bool
}

// Read implements io.Reader.
func (b *burnBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.recorded {
		return n, err
	}
	b.recorded = true
	truncated := !errors.Is(err, io.EOF)
	if truncated && errors.Is(b.ctx.Err(), context.Canceled) {
		return n, err
	}
	b.exchanger.record(b.call, b.minion, b.failed || truncated)
	return n, err
}
