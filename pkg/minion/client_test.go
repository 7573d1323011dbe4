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

// script serves connections one request at a time; answer returns the bytes to send, or "" to close the connection
// without an answer, or silence to keep it open and silent.
type script struct {
	address string
	opened  atomic.Int64
	runs    atomic.Int64
}

const silence = "silence"

func serveScript(t *testing.T, answer func(connection, request int, path string) string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &script{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.opened.Add(1)), answer)
		}
	}()
	return s
}

func (s *script) serve(conn net.Conn, number int, answer func(connection, request int, path string) string) {
	defer conn.Close() //nolint:errcheck // the fault under test
	reader := bufio.NewReader(conn)
	for i := 1; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.runs.Add(1)
		text := answer(number, i, request.URL.Path)
		if text == silence {
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

func post(path string, header http.Header) *Request {
	if header == nil {
		header = http.Header{}
	}
	return &Request{Method: http.MethodPost, URL: &url.URL{Path: path}, Host: "h", Header: header}
}

func exchange(c *Client, r *Request, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// Guards against a transport that sends a request again on another connection: it reads, runs and closes on a reused one.
func TestSendNeverReplays(t *testing.T) {
	for _, replay := range []bool{false, true} {
		t.Run(fmt.Sprintf("ordinary transport %t", replay), func(t *testing.T) {
			s := serveScript(t, func(connection, request int, _ string) string {
				// With an ordinary transport, the first connection is the unused one of the pool.
				if request == 2 && (connection == 2 || !replay) {
					return ""
				}
				return okAnswer
			})
			c := newTestClient(s.address, common.NewSystemClock())
			c.transportReplay = replay
			_, err := exchange(c, post("/1", http.Header{}), time.Second)
			require.NoError(t, err)
			_, err = exchange(c, post("/2", http.Header{"Idempotency-Key": {"k"}}), time.Second)
			if replay {
				require.EqualValues(t, 3, s.runs.Load(), "the test must see the replay of an ordinary transport")
				return
			}
			requireFailure(t, err, oleanderline.ResultUnknown, CauseBroken)
			require.EqualValues(t, 2, s.runs.Load())
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

// Guards against a non-idempotent request on a connection that may have gone silent, and against reuse of a connection
// whose exchange has timed out.
func TestSilentConnections(t *testing.T) {
	s := serveScript(t, func(connection, request int, _ string) string {
		if connection == 1 && request > 1 {
			return silence
		}
		return okAnswer
	})
	clock := common.NewVirtualClock(time.Unix(0, 0))
	c := newTestClient(s.address, clock)
	_, err := exchange(c, post("/1", nil), time.Second)
	require.NoError(t, err)
	clock.Advance(DefaultSettings().ProvedAlive + 1)
	_, err = exchange(c, post("/2", nil), time.Second)
	require.NoError(t, err, "an unproved connection must not be used")
	require.EqualValues(t, 2, s.opened.Load())
	require.Equal(t, 2, c.Connections())

	c.SetLimit(1) // closes the older connection
	require.Equal(t, 1, c.Connections())
	quiet := serveScript(t, func(connection, _ int, _ string) string {
		if connection == 1 {
			return silence
		}
		return okAnswer
	})
	c = newTestClient(quiet.address, clock)
	_, err = exchange(c, post("/1", nil), 50*time.Millisecond)
	requireFailure(t, err, oleanderline.ResultUnknown, CauseTimeout)
	require.Zero(t, c.Connections(), "the connection of a timed-out exchange is closed")
	_, err = exchange(c, post("/2", nil), time.Second)
	require.NoError(t, err)
}

// Guards against results that claim too much: each answer or end of the connection has one meaning.
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
			s := serveScript(t, func(int, int, string) string { return sc.answer })
			_, err := exchange(newTestClient(s.address, common.NewSystemClock()), post("/", nil), 5*time.Second)
			requireFailure(t, err, sc.result, sc.cause)
		})
	}
	for _, cut := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ncut",
	} {
		s := serveScript(t, func(int, int, string) string { return cut })
		_, err := exchange(newTestClient(s.address, common.NewSystemClock()), post("/", nil), 5*time.Second)
		require.Error(t, err, "a truncated answer must not look whole")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = exchange(newTestClient(listener.Addr().String(), common.NewSystemClock()), post("/", nil), 5*time.Second)
	requireFailure(t, err, oleanderline.ResultNotRun, CauseDial)
}
