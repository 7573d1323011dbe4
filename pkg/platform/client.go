// Package platform implements HTTP calls with JSON bodies, as used by the clients of the platform's log service, VM list and
// workers.
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

// Limits on a client's calls, connections and answers.
const (
	defaultTimeout = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxConns       = 16
	maxIdleConns   = 2
	maxAnswerBytes = 64 << 20 // reads of a stream have by far the largest answers
)

// Client sends calls to one service of the platform. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	bytes     *metrics.Counter // bytes sent and received; nil if they are not counted
	transport *http.Transport
}

// Option configures a Client in NewClient.
type Option func(*Client)

// WithTimeout sets the timeout of each call, which applies in addition to the deadline of its context. The default is 5 s.
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

// Get sends a GET request for path and decodes the JSON answer into answer.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	_, err := c.do(ctx, requestSpec{method: http.MethodGet, path: path}, answer)
	return err
}

// GetIfChanged is a conditional Get: tag is the ETag of an earlier answer, or "". It returns the ETag of the current content,
// which is "" if the service sends none. If the content has not changed, answer is left unmodified.
func (c *Client) GetIfChanged(ctx context.Context, path, tag string, answer any) (newTag string, changed bool, err error) {
	resp, err := c.do(ctx, requestSpec{method: http.MethodGet, path: path, tag: tag}, answer)
	return resp.tag, resp.status != http.StatusNotModified, err
}

// Post sends body as JSON to path and decodes the JSON answer into answer, unless answer is nil.
func (c *Client) Post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request for %s: %w: %w", path, oleanderline.ErrUnavailable, err)
	}
	_, err = c.do(ctx, requestSpec{method: http.MethodPost, path: path, body: data}, answer)
	return err
}

// PostBytes is like Post, but sends data unencoded.
func (c *Client) PostBytes(ctx context.Context, path string, data []byte, answer any) error {
	_, err := c.do(ctx, requestSpec{method: http.MethodPost, path: path, body: data}, answer)
	return err
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// requestSpec describes one request.
type requestSpec struct {
	method, path string
	body         []byte
	tag          string // ETag of the content that the caller has; "" for an unconditional request
}

// do sends a request and decodes the answer. The status 304 Not Modified is a success only for a conditional request.
func (c *Client) do(ctx context.Context, spec requestSpec, answer any) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, _ = info.Conn.(*trackedConn)
		conn.beginRequest()
	}}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), spec)
	if err != nil {
		return reply{}, fmt.Errorf("%s %s: %w: %w", spec.method, spec.path, oleanderline.ErrUnavailable, err)
	}
	resp, err := c.exchange(request)
	if err != nil {
		return reply{}, fmt.Errorf("%s %s%s: %w: %w", spec.method, c.base, spec.path, c.closeAfterError(ctx, conn), err)
	}
	if resp.status == http.StatusNotModified && spec.tag != "" {
		return resp, nil
	}
	if resp.status != http.StatusOK {
		return reply{}, fmt.Errorf("%s %s%s: %w", spec.method, c.base, spec.path, errorOf(resp.status, strings.TrimSpace(string(resp.data))))
	}
	if answer == nil {
		return resp, nil
	}
	if err := json.Unmarshal(resp.data, answer); err != nil {
		return reply{}, fmt.Errorf("%s %s%s: decode answer: %w: %w", spec.method, c.base, spec.path, oleanderline.ErrUncertain, err)
	}
	return resp, nil
}

// newRequest omits headers that the platform does not need, because headers make up most of a short call.
func (c *Client) newRequest(ctx context.Context, spec requestSpec) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, spec.method, c.base+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("User-Agent", "") // prevents net/http from sending its default
	if spec.tag != "" {
		request.Header.Set("If-None-Match", spec.tag)
	}
	return request, nil
}

// reply is the answer to one request.
type reply struct {
	status int
	tag    string
	data   []byte
}

// exchange sends a request and reads the complete body of the answer, so that a truncated answer is an error.
func (c *Client) exchange(request *http.Request) (reply, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply{}, err
	}
	if len(data) > maxAnswerBytes {
		return reply{}, fmt.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return reply{status: response.StatusCode, tag: response.Header.Get("ETag"), data: data}, nil
}

// closeAfterError closes the connection of a failed call and returns ErrUnavailable if no byte of the request was sent, else
// ErrUncertain. After a timeout it also closes the idle connections: whatever made this connection unresponsive has probably
// affected others of the same age.
func (c *Client) closeAfterError(ctx context.Context, conn *trackedConn) error {
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
	}
	if conn == nil || !conn.seal() {
		return oleanderline.ErrUnavailable
	}
	return oleanderline.ErrUncertain
}
