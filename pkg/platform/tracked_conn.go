package platform

import (
	"errors"
	"net"
	"sync"
)

var errSealed = errors.New("connection closed after a failed call")

// trackedConn records whether any byte of the current request may have been sent. net/http does not report this reliably:
// its write loop can still start a write after the call has returned with an error.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written bool // whether a write of the current request has started
	sealed  bool // whether all writes fail
}

// beginRequest marks the start of a new request on the connection.
func (c *trackedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal closes the connection, prevents all later writes and reports whether a write of the current request has started.
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
