package minion

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

var errTerminated = errors.New("write on a connection that is already closed")

// trackedConn counts the bytes that are written to a TCP connection, which proves whether a failed request was sent at
// all.
type trackedConn struct {
	net.Conn

	mu            sync.Mutex
	terminated    bool
	pendingWrites int
	written       int64
}

// Write implements net.Conn.
func (t *trackedConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	if t.terminated {
		t.mu.Unlock()
		return 0, errTerminated
	}
	t.pendingWrites++
	t.mu.Unlock()
	n, err := t.Conn.Write(p)
	t.mu.Lock()
	t.pendingWrites--
	t.written += int64(n)
	t.mu.Unlock()
	return n, err
}

// bytesWritten returns the number of bytes written so far.
func (t *trackedConn) bytesWritten() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// terminate closes the connection, prevents later writes, and reports whether no byte was written after the first since
// bytes.
func (t *trackedConn) terminate(since int64) (unsent bool) {
	t.mu.Lock()
	t.terminated = true
	unsent = t.written == since && t.pendingWrites == 0
	t.mu.Unlock()
	_ = t.Close()
	return unsent
}

// conn is a connection to a minion. At most one exchange uses it at a time.
type conn struct {
	http         *http.ClientConn
	tracked      *trackedConn
	lastAnswerAt time.Time // when the last answer was complete, or when the connection was opened
}

// connKey is the context key for the *conn for which the transport opens a connection.
type connKey struct{}

// newTransport returns a transport that is used only to open connections; Client has its own pool. RoundTrip must not be
// called on the transport itself, because it sends a request again on another connection if a reused connection fails.
func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: s.KeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := &trackedConn{Conn: raw}
			if target, ok := ctx.Value(connKey{}).(*conn); ok {
				target.tracked = tracked
			}
			return tracked, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: s.MaxHeaderBytes,
		ReadBufferSize:         s.BufferBytes,
		WriteBufferSize:        s.BufferBytes,
	}
}
