// Package minion is the HTTP/1.1 client for minions, the back ends. For each request it reports whether the request was
// answered, did not run, or may have run (unknown result).
package minion

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Response headers of minions.
const (
	// HeaderLeaving with the value "1" announces that the minion is leaving. With a 503 or 429 it also means that the
	// request was refused.
	HeaderLeaving = "Oleander-Leaving"
	// HeaderNotRun with the value "1" and a 429 or 503 means that the request was refused before it ran.
	HeaderNotRun = "Oleander-Not-Run"
)

// Request is a request to a minion.
type Request struct {
	Method        string
	URL           *url.URL // path and query only
	Host          string
	Header        http.Header
	Body          io.Reader // nil: none
	ContentLength int64     // -1: unknown, the body is sent in chunks
	// Idempotent permits an idle connection that may be dead, because the request can be sent again.
	Idempotent bool
	// Fresh requires a new connection.
	Fresh bool
}

// Client sends requests to one minion.
type Client struct {
	id   oleanderline.MinionID
	pool *pool
	// sendViaTransport is a test switch: it sends through an ordinary http.Transport, which may send a request twice.
	sendViaTransport bool
}

// NewClient returns a Client that opens at most limit connections to the minion at address.
func NewClient(c *common.Common, id oleanderline.MinionID, address string, limit int, s Settings) *Client {
	p := &pool{
		settings:  s,
		address:   address,
		transport: newTransport(s),
		now:       c.Clock.Now,
		limit:     limit,
	}
	return &Client{id: id, pool: p}
}

// ID returns the minion's id.
func (c *Client) ID() oleanderline.MinionID { return c.id }

// Address returns the minion's address.
func (c *Client) Address() string { return c.pool.address }

// SetLimit sets the maximum number of open connections.
func (c *Client) SetLimit(limit int) { c.pool.setLimit(limit) }

// Connections returns the number of open connections.
func (c *Client) Connections() int { return c.pool.count() }

// CloseExpired closes connections that have been idle for longer than IdleTimeout.
func (c *Client) CloseExpired() { c.pool.closeExpired() }

// Close closes the connections. Those of exchanges in progress are closed after the exchange.
func (c *Client) Close() { c.pool.close() }

// Send sends a request and waits for the header of the answer, until ctx is done. On success, the caller must read the
// answer's body to its end or close it. An error is always a *Failure.
func (c *Client) Send(ctx context.Context, r *Request) (*Answer, error) {
	policy := reuseProven
	if r.Idempotent {
		policy = reuseAny
	}
	if r.Fresh {
		policy = reuseNone
	}
	connection, _, err := c.pool.get(ctx, policy)
	if err != nil {
		return nil, c.connectionFailure(ctx, err)
	}
	body := &requestBody{reader: r.Body}
	// The exchange has its own context, because the deadline of ctx applies only until the answer's header: bodies are
	// streamed.
	exchangeCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stopWatching := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	writtenBefore := connection.tracked.bytesWritten()
	response, err := c.roundTrip(connection, httpRequest(exchangeCtx, r, body, c.pool.address))
	inTime := stopWatching()
	if err == nil && !inTime {
		_ = response.Body.Close()
		err = context.Cause(ctx)
	}
	if err != nil {
		unsent := connection.tracked.terminate(writtenBefore)
		c.pool.discard(connection)
		cancel(nil)
		return nil, exchangeFailure(ctx, err, unsent, body)
	}
	answer := newAnswer(c.pool, connection, response, cancel)
	return answer, answer.refusal()
}

func (c *Client) roundTrip(connection *conn, r *http.Request) (*http.Response, error) {
	if c.sendViaTransport {
		return c.pool.transport.RoundTrip(r)
	}
	return connection.http.RoundTrip(r)
}

func httpRequest(ctx context.Context, r *Request, body *requestBody, address string) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if r.Body != nil && r.ContentLength != 0 {
		out.Body = body
	}
	return out.WithContext(ctx)
}

// connectionFailure returns the failure of a request for which no connection was available.
func (c *Client) connectionFailure(ctx context.Context, err error) *Failure {
	f := &Failure{Result: oleanderline.ResultNotRun, Cause: CauseDial, Err: err}
	switch {
	case errors.Is(err, errConnectionLimit):
		f.Cause = CauseConnectionLimit
	case errors.Is(context.Cause(ctx), context.Canceled):
		f.Cause = CauseCallerGone
	}
	return f
}

// exchangeFailure returns the failure of a request without a valid answer; unsent means that no byte of it was written.
func exchangeFailure(ctx context.Context, err error, unsent bool, body *requestBody) *Failure {
	f := &Failure{Result: oleanderline.ResultUnknown, Cause: CauseBroken, Err: err}
	switch {
	case body.readError() != nil:
		f.Cause, f.Err = CauseRequestBody, body.readError()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Cause = CauseTimeout
	case ctx.Err() != nil:
		f.Cause = CauseCallerGone
	case unsent:
		f.Cause = CauseUnsent
	}
	if unsent {
		f.Result = oleanderline.ResultNotRun
	}
	return f
}

// parseRetryAfter parses a Retry-After header in seconds. It returns zero for other values.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
