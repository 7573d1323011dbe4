package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// server is a server with limited connections.
type server struct {
	t        *testing.T
	listener *Listener
	release  chan struct{} // requests to /wait are answered when it is closed
}

func newServer(t *testing.T, connections int, header oleanderline.ByteCount, options ...Option) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := common.New("test")
	c.Log.Logger.SetOutput(io.Discard)
	s := &server{t: t, release: make(chan struct{})}
	s.listener = New(c, common.NewSystemClock(), inner.(*net.TCPListener), options...)
	s.listener.SetLimits(connections, header)
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute, ConnState: s.listener.ConnState, ConnContext: s.listener.ConnContext,
	}
	go func() { _ = server.Serve(s.listener) }() // returns at the end of the test
	t.Cleanup(func() { _ = server.Close() })     // the test is over
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-s.release
	}
	if r.URL.Path == "/refuse" {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		require.NoError(s.t, http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)))
		CloseSoon(r.Context())
		return
	}
	_, _ = io.WriteString(w, strings.Repeat("a", 1<<10)) // the client may have disconnected
}

func (s *server) dial() net.Conn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func (s *server) send(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	require.NoError(s.t, err)
}

// status returns the status of the next answer.
func (s *server) status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err)
	require.NoError(s.t, response.Body.Close())
	return response.StatusCode
}

// awaitOpen waits until a number of connections are open.
func (s *server) awaitOpen(want int) {
	require.Eventually(s.t, func() bool { return s.listener.count() == want }, 10*time.Second, time.Millisecond)
}

// isClosed reports whether the server closes a connection without an answer.
func isClosed(conn net.Conn) bool {
	n, err := conn.Read(make([]byte, 1))
	return n == 0 && err != nil
}

// Guards against clients that keep out others by holding connections: the longest idle one is closed.
func TestANewConnectionReplacesTheLongestIdle(t *testing.T) {
	s := newServer(t, 2, 0)
	first := s.dial()
	s.awaitOpen(1)
	second := s.dial()
	s.awaitOpen(2)
	third := s.dial()
	s.send(third, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, s.status(third))
	require.True(t, isClosed(first))
	s.send(second, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusOK, s.status(second))
	s.awaitOpen(2)
}

// Guards against the close of a connection whose request is being answered.
func TestARequestInProgressIsNotInterrupted(t *testing.T) {
	s := newServer(t, 1, 0)
	working := s.dial()
	s.send(working, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Eventually(t, func() bool {
		s.listener.mu.Lock()
		defer s.listener.mu.Unlock()
		for c := range s.listener.conns {
			return phase(c.phase.Load()) == phaseWorking
		}
		return false
	}, 10*time.Second, time.Millisecond)
	require.True(t, isClosed(s.dial()))
	close(s.release)
	require.Equal(t, http.StatusOK, s.status(working))
}

// Guards against headers that together take up too much memory, and against the close of a connection with a small header.
func TestTheLargestHeaderGivesWay(t *testing.T) {
	s := newServer(t, 0, 4<<10)
	small, large, larger := s.dial(), s.dial(), s.dial()
	s.send(small, "GET / HTTP/1.1\r\nHost: a\r\n")
	s.send(large, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 1500))
	s.send(larger, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 3000))
	require.True(t, isClosed(larger))
	for _, conn := range []net.Conn{small, large} {
		s.send(conn, "\r\n\r\n")
		require.Equal(t, http.StatusOK, s.status(conn))
	}
	require.Eventually(t, func() bool { return s.listener.header.Load() == 0 }, 10*time.Second, time.Millisecond, "bytes of headers that have ended are counted")
}

// Guards against a client that does not take its answers and so holds its connection for ever.
func TestAnAnswerThatIsNotTakenEnds(t *testing.T) {
	s := newServer(t, 0, 0, WithWriteTimeout(50*time.Millisecond))
	conn := s.dial()
	request := strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100)
	for {
		if _, err := io.WriteString(conn, request); err != nil {
			break
		}
	}
	s.awaitOpen(0)
}

// Guards against an answer that the client loses because its connection is reset, as the rest of its request is unread.
func TestARefusalArrivesBesideAnUnreadBody(t *testing.T) {
	s := newServer(t, 0, 0)
	conn := s.dial()
	const length = 8 << 10
	s.send(conn, fmt.Sprintf("POST /refuse HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 2*length, strings.Repeat("x", length)))
	require.Equal(t, http.StatusServiceUnavailable, s.status(conn))
	s.awaitOpen(0)
}
