package minion

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// errTruncated is the error of a body that ends before its announced end.
var errTruncated = errors.New("answer is truncated")

// Answer is a minion's answer. Its body streams from the connection.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	// Leaving is set if the minion says that it leaves.
	Leaving bool

	response *http.Response
	pool     *pool
	conn     *conn
	cancel   context.CancelCauseFunc
	stall    *time.Timer
	once     sync.Once
	whole    bool
}

func newAnswer(p *pool, c *conn, response *http.Response, cancel context.CancelCauseFunc) *Answer {
	a := &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Leaving:       response.Header.Get(HeaderLeaving) == "1",
		response:      response,
		pool:          p,
		conn:          c,
		cancel:        cancel,
	}
	if response.Body == http.NoBody {
		a.finish(true)
		return a
	}
	a.stall = time.AfterFunc(p.settings.StallTimeout, func() { cancel(errTruncated) })
	return a
}

// refusal returns a *Failure if the answer is a refusal or cannot be relied on, and closes it then.
func (a *Answer) refusal() error {
	refused := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
	notRun := a.Header.Get(HeaderNotRun) == "1"
	switch {
	case refused && a.Leaving:
		return a.fail(oleanderline.ResultNotRun, CauseLeaving)
	case refused && notRun:
		return a.fail(oleanderline.ResultNotRun, CauseRefused)
	case a.ContentLength < 0 && len(a.response.TransferEncoding) == 0 && a.response.Body != http.NoBody:
		return a.fail(oleanderline.ResultUnknown, CauseUnframed)
	}
	return nil
}

func (a *Answer) fail(result oleanderline.Result, cause Cause) error {
	// A short refusal is read to its end to keep the connection.
	_, _ = io.CopyN(io.Discard, a, 4<<10)
	a.Close()
	return &Failure{Result: result, Cause: cause, RetryAfter: parseRetryAfter(a.Header.Get("Retry-After"))}
}

// Read reads the body. It returns io.EOF only at the end that the minion announced.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	switch {
	case err == nil:
		a.stall.Reset(a.pool.settings.StallTimeout)
	case err == io.EOF:
		a.finish(true)
	default:
		a.finish(false)
	}
	return n, err
}

// Trailer returns the trailer fields, which are complete after the body.
func (a *Answer) Trailer() http.Header { return a.response.Trailer }

// Whole reports whether the body was read to its end.
func (a *Answer) Whole() bool { return a.whole }

// Close ends the exchange. If the body was not read to its end, the connection is closed.
func (a *Answer) Close() { a.finish(false) }

func (a *Answer) finish(whole bool) {
	a.once.Do(func() {
		a.whole = whole
		if a.stall != nil {
			a.stall.Stop()
		}
		if whole && !a.response.Close {
			_ = a.response.Body.Close()
			a.pool.put(a.conn)
		} else {
			a.pool.discard(a.conn)
		}
		a.cancel(nil)
	})
}
