package peer

import (
	"net"
	"time"
)

// writeTimeoutConn sets a deadline for each write. net/rpc holds a lock while it writes, so an unresponsive connection with a
// full send buffer would otherwise block all callers forever.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
