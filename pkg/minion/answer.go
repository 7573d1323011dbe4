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

// errStalled is the error of an answer from whose body no data was read for StallTimeout.
var errStalled = errors.New("answer stalled: no data read within the stall timeout")

// Answer is a minion's answer. Its body is read from the connection as a stream.
type Answer struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	// Leaving reports whether the minion has announced that it is leaving, and takes no new requests.
	Leaving bool

	httpResponse *http.Response
	pool         *pool
	conn         *conn
	cancel       context.CancelCauseFunc
	stallTimer   *time.Timer
	once         sync.Once
	complete     bool
}

func newAnswer(p *pool, c *conn, response *http.Response, cancel context.CancelCauseFunc) *Answer {
	a := &Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Leaving:       response.Header.Get(HeaderLeaving) == "1",
		httpResponse:  response,
		pool:          p,
		conn:          c,
		cancel:        cancel,
	}
	if response.Body == http.NoBody {
		a.finish(true)
		return a
	}
	a.stallTimer = time.AfterFunc(p.settings.StallTimeout, func() { cancel(errStalled) })
	return a
}

// refusal returns a *Failure and closes the answer, if the answer is a refusal or if a truncation of its body could not
// be detected.
func (a *Answer) refusal() error {
	refused := a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests
	notRun := a.Header.Get(HeaderNotRun) == "1"
	switch {
	case refused && a.Leaving:
		return a.fail(oleanderline.ResultNotRun, CauseLeaving)
	case refused && notRun:
		return a.fail(oleanderline.ResultNotRun, CauseRefused)
	case a.ContentLength < 0 && len(a.httpResponse.TransferEncoding) == 0 && a.httpResponse.Body != http.NoBody:
		return a.fail(oleanderline.ResultUnknown, CauseUnframed)
	}
	return nil
}

func (a *Answer) fail(result oleanderline.Result, cause Cause) error {
	// A short refusal is read to its end, so that the connection can be reused.
	_, _ = io.CopyN(io.Discard, a, 4<<10)
	a.Close()
	return &Failure{Result: result, Cause: cause, RetryAfter: parseRetryAfter(a.Header.Get("Retry-After"))}
}

// Read reads the body. It returns io.EOF only at the end of the body that the length or the chunks announce.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.httpResponse.Body.Read(p)
	switch {
	case err == nil:
		a.stallTimer.Reset(a.pool.settings.StallTimeout)
	case err == io.EOF:
		a.finish(true)
	default:
		a.finish(false)
	}
	return n, err
}

// Trailer returns the trailer fields. They are complete once the body was read to its end.
func (a *Answer) Trailer() http.Header { return a.httpResponse.Trailer }

// Complete reports whether the body was read to its end.
func (a *Answer) Complete() bool { return a.complete }

// Close ends the exchange. If the body was not read to its end, the connection is closed.
func (a *Answer) Close() { a.finish(false) }

// finish ends the exchange. The connection returns to the pool if the answer is complete, and is closed otherwise.
func (a *Answer) finish(complete bool) {
	a.once.Do(func() {
		a.complete = complete
		if a.stallTimer != nil {
			a.stallTimer.Stop()
		}
		if complete && !a.httpResponse.Close {
			_ = a.httpResponse.Body.Close()
			a.pool.put(a.conn)
		} else {
			a.pool.discard(a.conn)
		}
		a.cancel(nil)
	})
}
