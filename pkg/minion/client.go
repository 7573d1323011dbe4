// Package minion is the HTTP/1.1 client of the minions. It tells what is known about each request after its exchange: it
// was answered, it did not run, or that is unknown.
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

// Headers that a minion sends.
const (
	// HeaderLeaving with the value "1" says that the minion leaves. On a 503 it also refuses the request.
	HeaderLeaving = "Oleander-Leaving"
	// HeaderNotRun with the value "1" on a 429 or 503 says that the request was refused before running.
	HeaderNotRun = "Oleander-Not-Run"
)

// Request is one request to a minion.
type Request struct {
	Method        string
	URL           *url.URL // path and query only
	Host          string
	Header        http.Header
	Body          io.Reader // nil: none
	ContentLength int64     // -1: unknown, sent in chunks
	// Idempotent permits a connection that is not proved alive, because the request may be sent again.
	Idempotent bool
	// Fresh demands a new connection.
	Fresh bool
}

// Client sends requests to one minion.
type Client struct {
	id   oleanderline.MinionID
	pool *pool
	// transportReplay is a test switch: it sends through an ordinary transport, which may send a request twice.
	transportReplay bool
}

// NewClient returns a client that opens at most limit connections to the minion at address.
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

// SetLimit changes the number of connections that may be open.
func (c *Client) SetLimit(limit int) { c.pool.setLimit(limit) }

// Connections returns the number of open connections.
func (c *Client) Connections() int { return c.pool.count() }

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() { c.pool.sweep() }

// Close closes the connections. Exchanges in progress are completed first.
func (c *Client) Close() { c.pool.close() }

// Send sends a request and waits for the header of the answer, until ctx ends. On success the answer's body must be read
// to its end or closed. An error is always a *Failure.
func (c *Client) Send(ctx context.Context, r *Request) (*Answer, error) {
	wanted := needProved
	if r.Idempotent {
		wanted = needAny
	}
	if r.Fresh {
		wanted = needFresh
	}
	connection, _, err := c.pool.get(ctx, wanted)
	if err != nil {
		return nil, c.getFailure(ctx, err)
	}
	body := &sourceBody{reader: r.Body}
	// The exchange has a context of its own, because the deadline ends with the answer's header: bodies are streamed.
	exchange, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	mark := connection.wire.mark()
	response, err := c.roundTrip(connection, httpRequest(exchange, r, body, c.pool.address))
	inTime := unhook()
	if err == nil && !inTime {
		_ = response.Body.Close()
		err = context.Cause(ctx)
	}
	if err != nil {
		unsent := connection.wire.seal(mark)
		c.pool.discard(connection)
		cancel(nil)
		return nil, exchangeFailure(ctx, err, unsent, body)
	}
	answer := newAnswer(c.pool, connection, response, cancel)
	return answer, answer.refusal()
}

func (c *Client) roundTrip(connection *conn, r *http.Request) (*http.Response, error) {
	if c.transportReplay {
		return c.pool.transport.RoundTrip(r)
	}
	return connection.http.RoundTrip(r)
}

func httpRequest(ctx context.Context, r *Request, body *sourceBody, address string) *http.Request {
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

func (c *Client) getFailure(ctx context.Context, err error) *Failure {
	f := &Failure{Result: oleanderline.ResultNotRun, Cause: CauseDial, Err: err}
	switch {
	case errors.Is(err, errBound):
		f.Cause = CauseBound
	case errors.Is(context.Cause(ctx), context.Canceled):
		f.Cause = CauseCaller
	}
	return f
}

func exchangeFailure(ctx context.Context, err error, unsent bool, body *sourceBody) *Failure {
	f := &Failure{Result: oleanderline.ResultUnknown, Cause: CauseBroken, Err: err}
	switch {
	case body.failed() != nil:
		f.Cause, f.Err = CauseBody, body.failed()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Cause = CauseTimeout
	case ctx.Err() != nil:
		f.Cause = CauseCaller
	case unsent:
		f.Cause = CauseUnsent
	}
	if unsent {
		f.Result = oleanderline.ResultNotRun
	}
	return f
}

func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
