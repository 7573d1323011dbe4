// Package platform is the HTTP and JSON protocol that the clients of the platform's log service, VM list and workers
// have in common.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Bounds of a client's connections and answers.
const (
	defaultTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxConns       = 16
	maxIdleConns   = 2
	maxAnswer      = 64 << 20 // bytes; a read of a stream is by far the largest answer
)

// Client calls one service of the platform. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	bytes     *metrics.Counter // nil: not counted
	transport *http.Transport
}

// Option changes a Client while it is built.
type Option func(*Client)

// WithTimeout bounds each call, in addition to the deadline of its context. The default is 5 s.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithByteCounter counts the bytes of all calls, in both directions.
func WithByteCounter(bytes *metrics.Counter) Option {
	return func(c *Client) { c.bytes = bytes }
}

// NewClient returns a client for the service at baseURL, such as http://10.0.0.5:7000.
func NewClient(baseURL string, options ...Option) *Client {
	dialer := &net.Dialer{}
	c := &Client{base: strings.TrimRight(baseURL, "/"), timeout: defaultTimeout}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: common.CountBytes(conn, c.bytes)}, nil
		},
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get reads path and decodes the answer into answer.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	_, err := c.call(ctx, call{method: http.MethodGet, path: path}, answer)
	return err
}

// GetIfChanged reads path like Get, unless the service says that its content is still that of tag, the tag of an earlier
// answer. It returns the tag of the content, which is "" if the service gives none. If the content has not changed, it
// leaves answer as it is.
func (c *Client) GetIfChanged(ctx context.Context, path, tag string, answer any) (newTag string, changed bool, err error) {
	got, err := c.call(ctx, call{method: http.MethodGet, path: path, tag: tag}, answer)
	return got.tag, got.status != http.StatusNotModified, err
}

// Post sends body as JSON to path and decodes the answer into answer, unless answer is nil.
func (c *Client) Post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request for %s: %w: %w", path, oleanderline.ErrUnavailable, err)
	}
	_, err = c.call(ctx, call{method: http.MethodPost, path: path, body: data}, answer)
	return err
}

// PostBytes sends data as it is.
func (c *Client) PostBytes(ctx context.Context, path string, data []byte, answer any) error {
	_, err := c.call(ctx, call{method: http.MethodPost, path: path, body: data}, answer)
	return err
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// call is one request.
type call struct {
	method, path string
	body         []byte
	tag          string // of the content that the caller has; "" for none
}

func (c *Client) call(ctx context.Context, what call, answer any) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*trackedConn)
		conn.begin()
	}}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), what)
	if err != nil {
		return reply{}, fmt.Errorf("%s %s: %w: %w", what.method, what.path, oleanderline.ErrUnavailable, err)
	}
	got, err := c.exchange(request)
	if err != nil {
		return reply{}, fmt.Errorf("%s %s%s: %w: %w", what.method, c.base, what.path, c.retire(ctx, conn), err)
	}
	if got.status == http.StatusNotModified && what.tag != "" {
		return got, nil
	}
	if got.status != http.StatusOK {
		return reply{}, fmt.Errorf("%s %s%s: %w", what.method, c.base, what.path, errorOf(got.status, strings.TrimSpace(string(got.data))))
	}
	if answer == nil {
		return got, nil
	}
	if err := json.Unmarshal(got.data, answer); err != nil {
		return reply{}, fmt.Errorf("%s %s%s: decode answer: %w: %w", what.method, c.base, what.path, oleanderline.ErrUncertain, err)
	}
	return got, nil
}

// request leaves out what the platform does not need, because short calls consist mostly of headers.
func (c *Client) request(ctx context.Context, what call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, what.method, c.base+what.path, bytes.NewReader(what.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // net/http sends none then
	if what.tag != "" {
		request.Header.Set("If-None-Match", what.tag)
	}
	return request, nil
}

// reply is the answer to one request.
type reply struct {
	status int
	tag    string
	data   []byte
}

// exchange reads the whole body, so that a truncated answer is an error.
func (c *Client) exchange(request *http.Request) (reply, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return reply{}, err
	}
	if len(data) > maxAnswer {
		return reply{}, fmt.Errorf("answer is longer than %d bytes", maxAnswer)
	}
	return reply{status: response.StatusCode, tag: response.Header.Get("ETag"), data: data}, nil
}

// retire removes the connection of a failed call and says what is known about the call. After a timeout the idle
// connections go too: whatever made this one silent has probably silenced the others of the same age.
func (c *Client) retire(ctx context.Context, conn *trackedConn) error {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	if conn == nil || !conn.seal() {
		return oleanderline.ErrUnavailable
	}
	return oleanderline.ErrUncertain
}
