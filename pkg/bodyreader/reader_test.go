package bodyreader

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodygate"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/connlimit"
)

const (
	testLimit = 64 << 10
	testGrace = 20 * time.Millisecond
	noTimeout = time.Minute
)

// result is what Read returned for one request.
type result struct {
	data string
	err  error
}

// bench serves requests by reading their bodies.
type bench struct {
	t       *testing.T
	gate    *bodygate.Gate
	address string
	results chan result
	timeout time.Duration
}

func newBench(t *testing.T, total oleanderline.ByteCount, grace, timeout time.Duration) *bench {
	c := common.New("test")
	c.Log.Logger.SetOutput(io.Discard)
	b := &bench{t: t, gate: bodygate.New(common.NewSystemClock(), total, grace), results: make(chan result, 100), timeout: timeout}
	reader := New(c, b.gate, testLimit)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := connlimit.New(c, common.NewSystemClock(), inner.(*net.TCPListener))
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: listener.ConnState, ConnContext: listener.ConnContext}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := reader.Read(w, r, testLimit, b.timeout)
		if err != nil {
			b.results <- result{err: err}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.results <- result{data: string(body.Data)}
		body.Release()
	})
	b.address = inner.Addr().String()
	go func() { _ = server.Serve(listener) }() // returns at the end of the test
	t.Cleanup(func() { _ = server.Close() })   // the test is over
	return b
}

// send opens a connection and writes the begin of a request.
func (b *bench) send(field, text string) net.Conn {
	conn, err := net.Dial("tcp", b.address)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", field, text)
	require.NoError(b.t, err)
	return conn
}

func (b *bench) status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(b.t, err)
	require.NoError(b.t, response.Body.Close())
	return response.StatusCode
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const (
	chunked  = "Transfer-Encoding: chunked"
	endChunk = "0\r\n\r\n"
)

// Guards against a body inside the limit that is refused or damaged, whatever its size and form, and against memory that is kept.
func TestWholeBodies(t *testing.T) {
	b := newBench(t, testLimit, testGrace, noTimeout)
	for _, size := range []int{0, 1, smallBody - 1, smallBody, smallBody + 1, testLimit - 1, testLimit} {
		text := strings.Repeat("x", size)
		forms := []struct{ name, field, text string }{
			{"length", withLength(size), text},
			{"one chunk", chunked, chunk(text) + endChunk},
			{"small chunks", chunked, strings.Repeat(chunk("x"), size) + endChunk},
		}
		if size == 0 {
			forms[1].text = endChunk
		}
		for _, form := range forms {
			t.Run(fmt.Sprintf("%d bytes, %s", size, form.name), func(t *testing.T) {
				conn := b.send(form.field, form.text)
				require.Equal(t, result{data: text}, <-b.results)
				require.Equal(t, http.StatusOK, b.status(conn))
				require.Zero(t, b.gate.Used())
			})
		}
	}
}

// Guards against a body above the limit, one that was cut off and one that stalls, which must not be taken for a whole one or waited for
// without end.
func TestBodiesThatAreNotWhole(t *testing.T) {
	large := strings.Repeat("x", 2*smallBody)
	for _, s := range []struct {
		name, field, text string
		timeout           time.Duration
		cutOff            bool
		want              error
	}{
		{"length above the limit", withLength(testLimit + 1), "", noTimeout, false, ErrTooLarge},
		{"chunks above the limit", chunked, chunk(strings.Repeat("x", testLimit+1)), noTimeout, false, ErrTooLarge},
		{"small, cut off", withLength(2), "x", noTimeout, true, io.ErrUnexpectedEOF},
		{"small chunks, cut off", chunked, chunk("x"), noTimeout, true, io.ErrUnexpectedEOF},
		{"large, cut off", withLength(len(large) + 1), large, noTimeout, true, io.ErrUnexpectedEOF},
		{"large chunks, cut off", chunked, chunk(large), noTimeout, true, io.ErrUnexpectedEOF},
		{"small, stalled", withLength(2), "x", testGrace, false, ErrTooSlow},
		{"large, stalled", withLength(len(large) + 1), large, testGrace, false, ErrTooSlow},
		{"large chunks, stalled", chunked, chunk(large), testGrace, false, ErrTooSlow},
	} {
		t.Run(s.name, func(t *testing.T) {
			b := newBench(t, testLimit, testGrace, s.timeout)
			conn := b.send(s.field, s.text)
			if s.cutOff {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			require.ErrorIs(t, (<-b.results).err, s.want)
			require.Equal(t, http.StatusServiceUnavailable, b.status(conn))
			require.Zero(t, b.gate.Used())
		})
	}
}

// Guards against stalled bodies that keep out others: one of them gives way, and its client gets an answer.
func TestAStalledBodyGivesWay(t *testing.T) {
	b := newBench(t, testLimit, testGrace, noTimeout)
	stalled := b.send(withLength(testLimit), strings.Repeat("x", testLimit-1))
	require.Eventually(t, func() bool { return b.gate.Used() == testLimit }, 10*time.Second, time.Millisecond)
	text := strings.Repeat("y", testLimit)
	whole := b.send(withLength(testLimit), text)
	first, second := <-b.results, <-b.results
	require.ErrorIs(t, errors.Join(first.err, second.err), bodygate.ErrFull)
	require.Equal(t, text, first.data+second.data)
	require.Equal(t, http.StatusOK, b.status(whole))
	require.Equal(t, http.StatusServiceUnavailable, b.status(stalled))
}

// Guards against a small body that waits for memory which large ones have taken.
func TestASmallBodyDoesNotWait(t *testing.T) {
	b := newBench(t, testLimit, testGrace, noTimeout)
	grant, err := b.gate.Acquire(context.Background(), testLimit, func() {})
	require.NoError(t, err)
	require.True(t, grant.Complete(), "it does not give way")
	b.send(withLength(1), "x")
	require.Equal(t, result{data: "x"}, <-b.results)
}

// Guards against whole bodies that are refused or end because more arrive at the same time than the memory holds: they wait for one
// another.
func TestABurstOfWholeBodiesIsServed(t *testing.T) {
	const clients = 16
	b := newBench(t, 2*testLimit, noTimeout, noTimeout)
	text := strings.Repeat("x", testLimit)
	var conns []net.Conn
	for range clients {
		conns = append(conns, b.send(withLength(testLimit), ""))
	}
	for _, conn := range conns {
		go func() { _, _ = io.WriteString(conn, text) }() // the answer shows whether the body arrived
	}
	for range clients {
		require.Equal(t, result{data: text}, <-b.results)
	}
	for _, conn := range conns {
		require.Equal(t, http.StatusOK, b.status(conn))
	}
}
