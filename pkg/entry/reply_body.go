package entry

import (
	"io"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// replyBody is the body of a minion's answer. Its end or Close reports the end of the exchange to the core.
type replyBody struct {
	exchanger *exchanger
	attempt   *attempt
	failed    bool
	closed    bool
}

// Read implements io.Reader. An error other than io.EOF means that the answer is truncated.
func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.attempt.answer.Read(p)
	if err != nil {
		b.failed = err != io.EOF
		_ = b.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *replyBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	a := b.attempt
	a.answer.Close()
	completion := dispatch.Completion{
		Request: a.request.id,
		Minion:  a.minion,
		Result:  oleanderline.ResultUnknown,
		Failed:  b.failed,
		Latency: b.exchanger.common.Clock.Now().Sub(a.started),
	}
	if a.answer.Complete() {
		completion.Result = oleanderline.ResultAnswered
	}
	b.exchanger.dispatcher.done(completion, false)
	return nil
}
