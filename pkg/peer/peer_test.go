package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const testKey = "correct-key"

type echo struct{ unblock chan struct{} }

func (echo) Say(args string, reply *string) error {
	*reply = args
	return nil
}

func (e echo) Block(string, *string) error {
	<-e.unblock
	return nil
}

func (echo) Fail(string, *string) error { return errors.New("refused by the method") }

func startServer(t *testing.T, service echo) string {
	t.Helper()
	server := NewServer(common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel))), testKey)
	require.NoError(t, server.Register("Echo", service))
	server.HandlePublic("/metrics", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.HandleAuthenticated("/burn", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

// Guards against calls that reach a method without the correct key, and against errors that do not match the sentinel error
// of their cause.
func TestCall(t *testing.T) {
	unblock := make(chan struct{})
	address := startServer(t, echo{unblock: unblock})
	t.Cleanup(func() { close(unblock) })
	scenarios := []struct {
		name    string
		key     string
		method  string
		timeout time.Duration
		want    error
	}{
		{name: "answered", key: testKey, method: "Echo.Say"},
		{name: "wrong key", key: "wrong", method: "Echo.Say", want: oleanderline.ErrUnavailable},
		{name: "empty key", key: "", method: "Echo.Say", want: oleanderline.ErrUnavailable},
		{name: "unresponsive peer", key: testKey, method: "Echo.Block", timeout: time.Millisecond, want: oleanderline.ErrUncertain},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var options []ClientOption
			if s.timeout > 0 {
				options = append(options, WithTimeout(s.timeout))
			}
			client := NewClient(address, s.key, options...)
			defer client.Close()
			if s.timeout > 0 {
				// Opens the connection first, so that the short timeout ends the call and not the dial.
				client.timeout = defaultTimeout
				var reply string
				require.NoError(t, client.Call(context.Background(), "Echo.Say", "x", &reply))
				client.timeout = s.timeout
			}
			var reply string
			err := client.Call(context.Background(), s.method, "hello", &reply)
			if s.want != nil {
				require.ErrorIs(t, err, s.want)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "hello", reply)
		})
	}
}

// Guards against a client that reuses a connection on which a call timed out.
func TestCallDialsAgainAfterTimeout(t *testing.T) {
	unblock := make(chan struct{})
	address := startServer(t, echo{unblock: unblock})
	defer close(unblock)
	client := NewClient(address, testKey)
	defer client.Close()
	var reply string
	require.NoError(t, client.Call(context.Background(), "Echo.Say", "first", &reply))
	client.timeout = time.Millisecond
	require.Error(t, client.Call(context.Background(), "Echo.Block", "", &reply))
	client.timeout = defaultTimeout
	require.NoError(t, client.Call(context.Background(), "Echo.Say", "second", &reply))
	require.Equal(t, "second", reply)
}

// Guards against an error returned by the method being treated as a connection failure.
func TestCallReturnsTheMethodsError(t *testing.T) {
	client := NewClient(startServer(t, echo{}), testKey)
	defer client.Close()
	var reply string
	var serverErr rpc.ServerError
	require.ErrorAs(t, client.Call(context.Background(), "Echo.Fail", "", &reply), &serverErr)
}

// Guards against an operator page being served without the key.
func TestHandleAuthenticated(t *testing.T) {
	address := startServer(t, echo{})
	scenarios := []struct {
		path, header string
		want         int
	}{
		{path: "/metrics", want: http.StatusOK},
		{path: "/burn", want: http.StatusForbidden},
		{path: "/burn", header: "Bearer wrong", want: http.StatusForbidden},
		{path: "/burn", header: "Bearer " + testKey, want: http.StatusOK},
	}
	for _, s := range scenarios {
		request, err := http.NewRequest(http.MethodGet, "http://"+address+s.path, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", s.header)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, s.want, response.StatusCode, "%s with %q", s.path, s.header)
	}
}
