package peer

import (
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingConn is a connection that swallows what is sent, and that the other side ends at the moment of the local Close.
type endingConn struct {
	net.Conn
	closed chan struct{}
}

func (c *endingConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *endingConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *endingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *endingConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a call that was sent and is reported as not sent, because both sides end the connection at the same time: the caller
// would take a record for not stored that the peer may have stored.
func TestSentCallIsNotReportedAsNotSent(t *testing.T) {
	client := rpc.NewClient(&writeTimeoutConn{Conn: &endingConn{closed: make(chan struct{})}, timeout: time.Second})
	call := client.Go("Relay.Append", 1, new(int), make(chan *rpc.Call, 1))
	require.NoError(t, client.Close())
	require.NotErrorIs(t, (<-call.Done).Error, rpc.ErrShutdown)
	require.ErrorIs(t, client.Call("Relay.Append", 1, new(int)), rpc.ErrShutdown)
}
