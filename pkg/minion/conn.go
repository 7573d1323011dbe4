package minion

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

var errSealed = errors.New("connection is sealed")

// wire counts what is written to one TCP connection, so that a failed exchange can be proved not to have been sent.
type wire struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	writing int
	written int64
}

// Write implements net.Conn.
func (w *wire) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.sealed {
		w.mu.Unlock()
		return 0, errSealed
	}
	w.writing++
	w.mu.Unlock()
	n, err := w.Conn.Write(p)
	w.mu.Lock()
	w.writing--
	w.written += int64(n)
	w.mu.Unlock()
	return n, err
}

// mark returns the number of bytes written so far.
func (w *wire) mark() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// seal closes the connection, prevents later writes, and reports whether no byte was written since mark.
func (w *wire) seal(mark int64) (unsent bool) {
	w.mu.Lock()
	w.sealed = true
	unsent = w.written == mark && w.writing == 0
	w.mu.Unlock()
	_ = w.Close()
	return unsent
}

// conn is one connection to a minion. At most one exchange uses it at a time.
type conn struct {
	http     *http.ClientConn
	wire     *wire
	answered time.Time // when the last whole answer arrived, or when it was opened
}

type wireKey struct{}

// newTransport returns a transport that only opens connections; the pool belongs to Client. RoundTrip is never called
// on the transport itself, because it would send a request again on another connection when a reused one fails.
func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: s.KeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			w := &wire{Conn: raw}
			if holder, ok := ctx.Value(wireKey{}).(*conn); ok {
				holder.wire = w
			}
			return w, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: s.MaxHeaderBytes,
		ReadBufferSize:         s.BufferBytes,
		WriteBufferSize:        s.BufferBytes,
	}
}
