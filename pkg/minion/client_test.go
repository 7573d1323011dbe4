package minion

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// scriptedServer serves one request at a time on each connection. For each request, the answer function returns the bytes
// to send, or "" to close the connection without an answer, or noAnswer to keep it open without an answer. An answer
// whose body starts with "cut" closes the connection, too.
type scriptedServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

const noAnswer = "silence"

func startServer(t *testing.T, answer func(connection, request int, path string) string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.connections.Add(1)), answer)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, number int, answer func(connection, request int, path string) string) {
	defer conn.Close() //nolint:errcheck // the fault under test
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		text := answer(number, i, request.URL.Path)
		if text == noAnswer {
			_, _ = reader.ReadByte()
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || text == "" || strings.Contains(text, "\r\n\r\ncut") {
			return
		}
	}
}

func newTestClient(address string, clock oleanderline.Clock) *Client {
	c := common.New("test", common.WithClock(clock), common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	return NewClient(c, "m-1", address, 2, DefaultSettings())
}

func postRequest(path string, header http.Header) *Request {
	if header == nil {
		header = http.Header{}
	}
	return &Request{Method: http.MethodPost, URL: &url.URL{Path: path}, Host: "h", Header: header}
}

// sendAndRead sends a request and returns the body of the answer.
func sendAndRead(c *Client, r *Request, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := c.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a transport that sends a request again on a new connection. The server reads and runs the second request
// on a reused connection and closes that without an answer.
func TestSendNeverReplays(t *testing.T) {
	for _, replay := range []bool{false, true} {
		t.Run(fmt.Sprintf("ordinary transport %t", replay), func(t *testing.T) {
			s := startServer(t, func(connection, request int, _ string) string {
				// With an ordinary transport, connection 1 is the one that the pool opened and that stays unused.
				if request == 2 && (connection == 2 || !replay) {
					return ""
				}
				return okAnswer
			})
			c := newTestClient(s.address, common.NewSystemClock())
			c.sendViaTransport = replay
			_, err := sendAndRead(c, postRequest("/1", http.Header{}), time.Second)
			require.NoError(t, err)
			_, err = sendAndRead(c, postRequest("/2", http.Header{"Idempotency-Key": {"k"}}), time.Second)
			if replay {
				require.EqualValues(t, 3, s.requests.Load(), "an ordinary transport must send the request twice, or the test proves nothing")
				return
			}
			requireFailure(t, err, oleanderline.ResultUnknown, CauseBroken)
			require.EqualValues(t, 2, s.requests.Load())
		})
	}
}

func requireFailure(t *testing.T, err error, result oleanderline.Result, cause Cause) {
	t.Helper()
	var failure *Failure
	require.True(t, errors.As(err, &failure), "%v", err)
	require.Equal(t, result, failure.Result, "%v", failure)
	require.Equal(t, cause, failure.Cause, "%v", failure)
}

// Guards against a non-idempotent request on an idle connection that may be dead, and against the reuse of a connection
// whose exchange timed out.
func TestSilentConnections(t *testing.T) {
	s := startServer(t, func(connection, request int, _ string) string {
		if connection == 1 && request > 1 {
			return noAnswer
		}
		return okAnswer
	})
	clock := common.NewVirtualClock(time.Unix(0, 0))
	c := newTestClient(s.address, clock)
	_, err := sendAndRead(c, postRequest("/1", nil), time.Second)
	require.NoError(t, err)
	clock.Advance(DefaultSettings().AliveWindow + 1)
	_, err = sendAndRead(c, postRequest("/2", nil), time.Second)
	require.NoError(t, err, "a connection past AliveWindow must not be reused")
	require.EqualValues(t, 2, s.connections.Load())
	require.Equal(t, 2, c.Connections())

	c.SetLimit(1) // closes the older connection
	require.Equal(t, 1, c.Connections())
	silent := startServer(t, func(connection, _ int, _ string) string {
		if connection == 1 {
			return noAnswer
		}
		return okAnswer
	})
	c = newTestClient(silent.address, clock)
	_, err = sendAndRead(c, postRequest("/1", nil), 50*time.Millisecond)
	requireFailure(t, err, oleanderline.ResultUnknown, CauseTimeout)
	require.Zero(t, c.Connections(), "the connection of a timed-out exchange is closed")
	_, err = sendAndRead(c, postRequest("/2", nil), time.Second)
	require.NoError(t, err)
}

// Guards against a wrong result: a request must count as not run or as answered only if that is certain.
func TestResults(t *testing.T) {
	scenarios := []struct {
		name, answer string
		result       oleanderline.Result
		cause        Cause
	}{
		{name: "closed without an answer", answer: "", result: oleanderline.ResultUnknown, cause: CauseBroken},
		{
			name:   "refused before running",
			answer: "HTTP/1.1 503 Busy\r\nOleander-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
			result: oleanderline.ResultNotRun, cause: CauseRefused,
		},
		{
			name:   "leaving",
			answer: "HTTP/1.1 503 Busy\r\nOleander-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
			result: oleanderline.ResultNotRun, cause: CauseLeaving,
		},
		{
			name:   "neither length nor chunks",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut",
			result: oleanderline.ResultUnknown, cause: CauseUnframed,
		},
		{name: "no HTTP", answer: "what?\r\n\r\n", result: oleanderline.ResultUnknown, cause: CauseBroken},
	}
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			s := startServer(t, func(int, int, string) string { return sc.answer })
			_, err := sendAndRead(newTestClient(s.address, common.NewSystemClock()), postRequest("/", nil), 5*time.Second)
			requireFailure(t, err, sc.result, sc.cause)
		})
	}
	for _, cut := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ncut",
	} {
		s := startServer(t, func(int, int, string) string { return cut })
		_, err := sendAndRead(newTestClient(s.address, common.NewSystemClock()), postRequest("/", nil), 5*time.Second)
		require.Error(t, err, "a truncated answer must not look complete")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = sendAndRead(newTestClient(listener.Addr().String(), common.NewSystemClock()), postRequest("/", nil), 5*time.Second)
	requireFailure(t, err, oleanderline.ResultNotRun, CauseDial)
}
