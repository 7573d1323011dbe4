package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against requests and answers that are changed while they are forwarded, and against hop-by-hop headers that are
// forwarded.
func TestAnswerIsForwardedUnchanged(t *testing.T) {
	c := newCluster(t)
	c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Got", r.Method+" "+r.URL.RequestURI()+" "+string(body))
		w.Header().Set("Got-Hop", r.Header.Get("Keep-Alive")+r.Header.Get("Secret")+r.Header.Get("Oleander-Timeout"))
		w.Header().Set("Got-End", r.Header.Get("Oleander-Request"))
		w.Header().Set("Connection", "Private")
		w.Header().Set("Private", "for the entry only")
		w.Header().Set("Oleander-Result", "unknown")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "answer")
	})
	d := c.addEntries("own-1")[0]
	r := send(d, http.MethodPost, "/a%2Fb?x=1", "question", withHeader("Connection", "Secret, close"), withHeader("Secret", "s"),
		withHeader("Keep-Alive", "k"), withHeader("Oleander-Timeout", "5s"), withHeader("Oleander-Request", "id-1"))
	requireOutcome(t, r, http.StatusTeapot, oleanderline.ResultAnswered, "")
	require.Equal(t, "answer", r.body)
	require.Equal(t, "POST /a%2Fb?x=1 question", r.header.Get("Got"))
	require.Empty(t, r.header.Get("Got-Hop"))
	require.Equal(t, "id-1", r.header.Get("Got-End"))
	require.Empty(t, r.header.Get("Private"))
}

// runAndClose starts a minion and returns its address. The minion counts a request for the path /run as run and closes
// the connection without an answer. It answers other requests, and closes a connection after its second request.
func runAndClose(t *testing.T, runs *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close() //nolint:errcheck // the fault under test
		reader := bufio.NewReader(conn)
		for first := true; ; first = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if request.URL.Path == "/run" {
				runs.Add(1)
				return
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil || !first {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against an HTTP transport that resends a request when a reused connection fails: net/http does so for requests
// with an idempotency key whose body it can read again.
func TestReusedConnectionNeverReplays(t *testing.T) {
	scenarios := []struct {
		name, body string
		header     []requestOption
	}{
		{name: "no key, with body", body: "x"},
		{name: "no key, without body"},
		{name: "Idempotency-Key, without body", header: []requestOption{withHeader("Idempotency-Key", "k")}},
		{name: "Idempotency-Key, with body", body: "x", header: []requestOption{withHeader("Idempotency-Key", "k")}},
		{name: "X-Idempotency-Key, without body", header: []requestOption{withHeader("X-Idempotency-Key", "k")}},
		{name: "X-Idempotency-Key, with body", body: "x", header: []requestOption{withHeader("X-Idempotency-Key", "k")}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var runs atomic.Int64
			c := newCluster(t)
			c.listMinion("m-1", runAndClose(t, &runs))
			d := c.addEntries("own-1")[0]
			requireOutcome(t, send(d, http.MethodPost, "/first", ""), http.StatusOK, oleanderline.ResultAnswered, "")
			require.Equal(t, 1, d.minions.connections(), "the connection must stay open for the next request")
			r := send(d, http.MethodPost, "/run", s.body, s.header...)
			requireOutcome(t, r, http.StatusBadGateway, oleanderline.ResultUnknown, "broken")
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
