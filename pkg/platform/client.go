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
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// Post sends body as JSON to path and decodes the answer into answer, unless answer is nil.
func (c *Client) Post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request for %s: %w: %w", path, oleanderline.ErrUnavailable, err)
	}
	return c.call(ctx, http.MethodPost, path, data, answer)
}

// PostBytes sends data as it is.
func (c *Client) PostBytes(ctx context.Context, path string, data []byte, answer any) error {
	return c.call(ctx, http.MethodPost, path, data, answer)
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*trackedConn)
		conn.begin()
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, oleanderline.ErrUnavailable, err)
	}
	status, data, err := c.exchange(request)
	if err != nil {
		return fmt.Errorf("%s %s%s: %w: %w", method, c.base, path, c.retire(ctx, conn), err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s %s%s: %w", method, c.base, path, errorOf(status, strings.TrimSpace(string(data))))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("%s %s%s: decode answer: %w: %w", method, c.base, path, oleanderline.ErrUncertain, err)
	}
	return nil
}

// exchange returns the status and the whole body, so that a truncated answer is an error.
func (c *Client) exchange(request *http.Request) (int, []byte, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return 0, nil, err
	}
	if len(data) > maxAnswer {
		return 0, nil, fmt.Errorf("answer is longer than %d bytes", maxAnswer)
	}
	return response.StatusCode, data, nil
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
