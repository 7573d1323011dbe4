package peer

import (
	"errors"
	"io"
	"net"
	"time"
)

// writeTimeoutConn sets a deadline for each write. net/rpc holds a lock while it writes, so an unresponsive connection with a
// full send buffer would otherwise block all callers forever. It reports the end of the connection as an unexpected one: for an expected
// end, net/rpc fails calls that were sent with the error of calls that were not.
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

// Read implements net.Conn.
func (c *writeTimeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
