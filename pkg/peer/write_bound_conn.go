package peer

import (
	"net"
	"time"
)

// writeBoundConn bounds each write, because net/rpc writes while it holds a lock: a silent connection with a full send
// buffer would otherwise block every caller for good.
type writeBoundConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *writeBoundConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
