package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// echoExchanger answers with the head of the request's body.
type echoExchanger struct{}

func (echoExchanger) Exchange(_ context.Context, call *Call) (*Reply, error) {
	head := string(call.Body.Head())
	return &Reply{Status: http.StatusOK, Header: http.Header{}, ContentLength: int64(len(head)), Body: io.NopCloser(strings.NewReader(head))}, nil
}

// Guards against stalled bodies that keep the memory for all bodies, against a refusal that does not say that the request did not run, and
// against small bodies that wait for memory.
func TestAStalledHeadGivesWay(t *testing.T) {
	const head = 2 * smallHead
	settings := DefaultSettings()
	settings.MaxBuffered = head
	c := common.New("test")
	server := httptest.NewServer(NewHandler(c, settings, echoExchanger{}))
	t.Cleanup(server.Close)
	send := func(length int, body string) net.Conn {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /s/a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
		require.NoError(t, err)
		return conn
	}
	answer := func(conn net.Conn) *http.Response {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		return response
	}
	handler := server.Config.Handler.(*Handler)
	text := strings.Repeat("x", head)
	stalled := send(head, text[1:])
	require.Eventually(t, func() bool { return handler.memory.Used() == head }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, answer(send(1, "x")).StatusCode)
	require.Equal(t, http.StatusOK, answer(send(head, text)).StatusCode)
	refusal := answer(stalled)
	require.Equal(t, http.StatusServiceUnavailable, refusal.StatusCode)
	require.Equal(t, "not-run", refusal.Header.Get("Oleander-Result"))
	require.Equal(t, string(ReasonMemory), refusal.Header.Get("Oleander-Reason"))
	require.Eventually(t, func() bool { return handler.memory.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// streamExchanger reads the whole body and reports the error that ends it.
type streamExchanger struct{ ended chan error }

func (e streamExchanger) Exchange(_ context.Context, call *Call) (*Reply, error) {
	_, err := io.Copy(io.Discard, call.Body.Reader())
	e.ended <- err
	return nil, &Problem{Status: http.StatusBadGateway}
}

// Guards against a body that begins fast and then stalls: it must end after the grace period, although its mean rate is sufficient.
func TestABodyThatStallsAfterAFastBeginEnds(t *testing.T) {
	settings := DefaultSettings()
	settings.BodyGrace, settings.MinBodyRate = 20*time.Millisecond, 1
	exchanger := streamExchanger{ended: make(chan error, 1)}
	server := httptest.NewServer(NewHandler(common.New("test"), settings, exchanger))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	length := 2 * settings.MaxHeadBytes
	_, err = fmt.Fprintf(conn, "POST /s/a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length-1))
	require.NoError(t, err)
	var problem *Problem
	require.ErrorAs(t, <-exchanger.ended, &problem)
	require.Equal(t, ReasonSlowBody, problem.Reason)
}
