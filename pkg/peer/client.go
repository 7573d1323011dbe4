package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// Client sends calls to one peer. It dials on the first call, and again after a failure. It is safe for concurrent use.
type Client struct {
	address string
	key     string
	timeout time.Duration
	bytes   *metrics.Counter // bytes sent and received; nil if they are not counted

	mu  sync.Mutex
	rpc *rpc.Client
}

// defaultTimeout limits calls, unless WithTimeout is given or the context has an earlier deadline.
const defaultTimeout = 2 * time.Second

// ClientOption configures a Client in NewClient.
type ClientOption func(*Client)

// WithTimeout sets the timeout of calls whose context has no earlier deadline.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// WithByteCounter counts the bytes of all calls, in both directions.
func WithByteCounter(bytes *metrics.Counter) ClientOption {
	return func(c *Client) { c.bytes = bytes }
}

// NewClient returns a client for the peer that listens on address, a host:port with an IP address.
func NewClient(address, key string, options ...ClientOption) *Client {
	c := &Client{address: address, key: key, timeout: defaultTimeout}
	for _, option := range options {
		option(c)
	}
	return c
}

// Call invokes a method such as "Entry.Heartbeat" and waits for the reply or the deadline. net/rpc has no deadlines and
// cannot tell a dead connection from a slow peer, so a call that times out closes the connection and the next call dials
// again. Errors match oleanderline.ErrUnavailable if the call was not sent, and oleanderline.ErrUncertain if its reply was
// lost. An error returned by the method itself is an rpc.ServerError.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client, err := c.dial(ctx)
	if err != nil {
		return fmt.Errorf("dial peer %s: %w: %w", c.address, oleanderline.ErrUnavailable, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.handleError(client, method, call.Error)
	case <-ctx.Done():
		c.closeConn(client)
		// Closing the connection ends the call; until then the decoder may still write to reply.
		<-call.Done
		return fmt.Errorf("call %s at peer %s: %w: %w", method, c.address, oleanderline.ErrUncertain, ctx.Err())
	}
}

// handleError returns err if it comes from the method. Any other error closes the connection and is wrapped in
// ErrUnavailable or ErrUncertain.
func (c *Client) handleError(client *rpc.Client, method string, err error) error {
	var serverErr rpc.ServerError
	if err == nil || errors.As(err, &serverErr) {
		return err
	}
	c.closeConn(client)
	if errors.Is(err, rpc.ErrShutdown) {
		return fmt.Errorf("call %s at peer %s: %w: %w", method, c.address, oleanderline.ErrUnavailable, err)
	}
	return fmt.Errorf("call %s at peer %s: %w: %w", method, c.address, oleanderline.ErrUncertain, err)
}

// dial returns the open connection, or opens one.
func (c *Client) dial(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		return c.rpc, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	if err := c.handshake(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.rpc = rpc.NewClient(&writeTimeoutConn{Conn: common.CountBytes(conn, c.bytes), timeout: c.timeout})
	return c.rpc, nil
}

// handshake sends the CONNECT request with the shared key.
func (c *Client) handshake(ctx context.Context, conn net.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	request := "CONNECT " + connectPath + " HTTP/1.0\r\nAuthorization: " + keyPrefix + c.key + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	if response.Status != connectStatus {
		return fmt.Errorf("peer refused the connection: %s", response.Status)
	}
	return conn.SetDeadline(time.Time{})
}

func (c *Client) closeConn(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc == client {
		c.rpc = nil
	}
	_ = client.Close()
}

// Close closes the connection, if any. A later call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rpc != nil {
		_ = c.rpc.Close()
		c.rpc = nil
	}
}
