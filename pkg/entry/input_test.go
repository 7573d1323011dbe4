package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/caller"
)

// Guards against invalid requests that run at a minion, get no clear error, or are not reported as not run.
func TestBadInputIsRefused(t *testing.T) {
	var runs atomic.Int64
	limits := caller.DefaultSettings()
	limits.MaxBodyBytes, limits.MaxHeadBytes, limits.MaxHeaderBytes = 1000, 100, 4000
	limits.BodyGrace, limits.MinBodyRate = 50*time.Millisecond, 1<<20
	c := newCluster(t, WithCallerSettings(limits))
	c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil || r.URL.Path == probePath {
			return
		}
		runs.Add(1)
		_, _ = fmt.Fprintf(w, "%d %v", r.ContentLength, r.TransferEncoding)
	})
	d := c.addEntries("own-1")[0]
	const host = " HTTP/1.1\r\nHost: h\r\n"
	post := "POST /s/" + testService + "/" + host
	scenarios := []struct {
		name, request string
		status        int
		reason        string // "" if net/http refuses the request before the handler
	}{
		{name: "no service", request: "GET /" + host + "\r\n", status: 400, reason: "bad-service"},
		{name: "invalid service name", request: "GET /s/a%20b/" + host + "\r\n", status: 400, reason: "bad-service"},
		{name: "two services", request: "GET /" + host + "Oleander-Service: a\r\nOleander-Service: b\r\n\r\n", status: 400, reason: "bad-service"},
		{name: "unknown service", request: "GET /s/nobody/" + host + "\r\n", status: 404, reason: "unknown-service"},
		{name: "unsupported method", request: "TRACE /s/" + testService + "/" + host + "\r\n", status: 405, reason: "bad-method"},
		{name: "negative timeout", request: post + "Oleander-Timeout: -1s\r\n\r\n", status: 400, reason: "bad-timeout"},
		{name: "zero timeout", request: post + "Oleander-Timeout: 0s\r\n\r\n", status: 400, reason: "bad-timeout"},
		{name: "timeout too long", request: post + "Oleander-Timeout: 9999h\r\n\r\n", status: 400, reason: "bad-timeout"},
		{name: "timeout without unit", request: post + "Oleander-Timeout: 800\r\n\r\n", status: 400, reason: "bad-timeout"},
		{name: "empty timeout", request: post + "Oleander-Timeout:\r\n\r\n", status: 400, reason: "bad-timeout"},
		{name: "empty key", request: post + "Idempotency-Key:\r\n\r\n", status: 400, reason: "bad-key"},
		{name: "two keys", request: post + "Idempotency-Key: a\r\nX-Idempotency-Key: b\r\n\r\n", status: 400, reason: "bad-key"},
		{name: "header above the handler's limit", request: post + "X: " + strings.Repeat("x", 5000) + "\r\n\r\n", status: 431, reason: "header-too-large"},
		{name: "header above the server's limit", request: post + "X: " + strings.Repeat("x", 50000) + "\r\n\r\n", status: 431},
		{name: "content length too large", request: post + "Content-Length: 1001\r\n\r\n", status: 413, reason: "body-too-large"},
		{
			name: "chunks too large", status: 413, reason: "body-too-large",
			request: post + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n",
		},
		{name: "invalid chunks", request: post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n", status: 400, reason: "bad-body"},
		{name: "slow sender", request: post + "Content-Length: 50\r\n\r\nx", status: 408, reason: "body-too-slow"},
		{name: "two content lengths", request: post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", status: 400},
		{name: "negative content length", request: post + "Content-Length: -3\r\n\r\n", status: 400},
		{name: "unknown encoding", request: post + "Transfer-Encoding: gzip\r\n\r\n", status: 501},
		{name: "not HTTP", request: "hello\r\n\r\n", status: 400},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", d.CallerAddress())
			require.NoError(t, err)
			defer conn.Close() //nolint:errcheck // only read from
			require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, _ = io.WriteString(conn, s.request)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, s.status, response.StatusCode)
			require.Equal(t, s.reason, response.Header.Get("Oleander-Reason"))
			if s.reason != "" {
				want := "not-run"
				if strings.HasPrefix(s.name, "chunks") {
					// The beginning of the body was sent to the minion before its length was known.
					want = "unknown"
				}
				require.Equal(t, want, response.Header.Get("Oleander-Result"))
			}
		})
	}
	require.Zero(t, runs.Load())

	// net/http drops a content length beside chunks before the handler gets the request. The minion must receive only one
	// of the two.
	conn, err := net.Dial("tcp", d.CallerAddress())
	require.NoError(t, err)
	defer conn.Close() //nolint:errcheck // only read from
	_, err = io.WriteString(conn, post+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "1 []", string(body))
}
