package common

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// countedConn adds the bytes read and written to a counter.
type countedConn struct {
	net.Conn
	bytes *metrics.Counter
}

// CountBytes returns a connection that adds its payload bytes, in both directions, to a counter. It returns conn itself if
// the counter is nil.
func CountBytes(conn net.Conn, bytes *metrics.Counter) net.Conn {
	if bytes == nil {
		return conn
	}
	return &countedConn{Conn: conn, bytes: bytes}
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(n)
	return n, err
}

// PeerBytes returns the counter of the bytes of calls between the system's own processes, in both directions.
func (c *Common) PeerBytes() *metrics.Counter {
	return c.Metrics.GetOrCreateCounter("oleander_peer_bytes_total") // bytes of calls between the system's own processes, in both directions
}

// PlatformBytes returns the counter of the bytes of calls to the log service, the VM list and workers, in both directions.
func (c *Common) PlatformBytes() *metrics.Counter {
	return c.Metrics.GetOrCreateCounter("oleander_platform_bytes_total") // bytes of calls to the log service, the VM list and workers, in both directions
}
