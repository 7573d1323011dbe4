package platform

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection retired after a failed call")

// trackedConn knows whether any byte of the current request may have left the process. net/http doesn't tell this
// reliably: its write loop can still start a write after the call has returned with an error.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool
	sealed  bool
}

// begin starts a new request on the connection.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal prevents all later writes and reports whether the current request has written anything.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	_ = c.Close()
	return written
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}
