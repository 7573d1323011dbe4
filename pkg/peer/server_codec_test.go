package peer

import (
	"net"
	"net/rpc"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// recordedConn records the bytes read from a connection.
type recordedConn struct {
	net.Conn
	mu   sync.Mutex
	read []byte
}

func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = append(c.read, p[:n]...)
	return n, err
}

func (c *recordedConn) data() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.read)
}

// Guards against replies that repeat the name of the method, and against replies that the client of net/rpc cannot decode.
func TestRepliesDoNotRepeatTheMethod(t *testing.T) {
	clientConn, serverConn := net.Pipe()
	server := NewServer(common.New("test"), testKey)
	require.NoError(t, server.Register("Echo", echo{}))
	go server.rpc.ServeCodec(newServerCodec(serverConn))
	conn := &recordedConn{Conn: clientConn}
	client := rpc.NewClient(conn)
	for _, text := range []string{"first", "second"} {
		var reply string
		require.NoError(t, client.Call("Echo.Say", text, &reply))
		require.Equal(t, text, reply)
	}
	var serverErr rpc.ServerError
	require.ErrorAs(t, client.Call("Echo.Fail", "", new(string)), &serverErr)
	require.NoError(t, client.Close())
	require.NotContains(t, conn.data(), "Echo.")
}
