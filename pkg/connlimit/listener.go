// Package connlimit limits what the connections of clients take up: their number, the bytes of their headers, the bytes that the kernel
// holds for them, and the time for which an answer waits to be taken. When the limit on connections is reached, a new connection takes
// the place of the one that has made the least use of its own. So clients that hold connections open do not keep out others.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	// lingerTime is how long a client may read an answer that was sent before its request had ended.
	lingerTime = 500 * time.Millisecond
	// defaultWriteTimeout is how long an answer waits for a client that does not take it. Answers are short and fit in the buffers of
	// a connection whose client reads them.
	defaultWriteTimeout = 5 * time.Second
	// smallHeader is the size up to which a header is never a reason to close its connection.
	smallHeader = 1 << 10
	// bufferSize is the size of the buffers that the kernel has for the receipt and for the sending of each connection, before the
	// kernel adds its own overhead. Most requests and all answers fit in it.
	bufferSize = 16 << 10
)

// Listener accepts the connections of clients. Its ConnState and ConnContext must be set in the http.Server that uses it.
type Listener struct {
	*net.TCPListener
	common       *common.Common
	clock        oleanderline.Clock
	start        time.Time
	writeTimeout time.Duration
	sendBuffer   int          // 0 selects that of the system
	limit        atomic.Int64 // of open connections; 0 means no limit
	headerLimit  atomic.Int64 // of the bytes of all headers that are being received; 0 means no limit
	header       atomic.Int64 // bytes of all headers that are being received

	mu    sync.Mutex
	conns map[*conn]struct{}

	closed  map[reason]*metrics.Counter
	logged  common.LogInterval
	dropped atomic.Int64 // connections closed since the last log line
}

// reason is why a Listener closes a connection.
type reason string

const (
	reasonCrowded reason = "connections"
	reasonBusy    reason = "busy"
	reasonHeader  reason = "header"
)

// Option configures a Listener.
type Option func(*Listener)

// WithWriteTimeout sets how long an answer waits for a client that does not take it.
func WithWriteTimeout(d time.Duration) Option {
	return func(l *Listener) { l.writeTimeout = d }
}

// WithSendBuffer sets the size of the buffers for the sending of answers; 0 selects that of the system.
func WithSendBuffer(size oleanderline.ByteCount) Option {
	return func(l *Listener) { l.sendBuffer = int(size) }
}

// New returns a Listener that accepts connections of inner. It sets the size of their buffers, as far as the system allows that.
func New(c *common.Common, clock oleanderline.Clock, inner *net.TCPListener, options ...Option) *Listener {
	l := &Listener{
		TCPListener: inner, common: c, clock: clock, start: clock.Now(), writeTimeout: defaultWriteTimeout, sendBuffer: bufferSize,
		conns: map[*conn]struct{}{},
		closed: map[reason]*metrics.Counter{
			reasonCrowded: c.Metrics.GetOrCreateCounter(`oleander_connections_closed_total{reason="connections"}`), // clients' connections that were closed in favor of new ones
			reasonBusy:    c.Metrics.GetOrCreateCounter(`oleander_connections_closed_total{reason="busy"}`),        // clients' connections that were closed at once, because all others were being answered
			reasonHeader:  c.Metrics.GetOrCreateCounter(`oleander_connections_closed_total{reason="header"}`),      // clients' connections that were closed because the headers of all clients together were too large
		},
	}
	for _, option := range options {
		option(l)
	}
	c.Metrics.GetOrCreateGauge("oleander_connections", func() float64 { return float64(l.count()) }) // open connections of clients
	l.setBuffers()
	return l
}

// setBuffers sets the size of the buffers of a listener, which the accepted connections inherit. They work without, so errors are
// ignored.
func (l *Listener) setBuffers() {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferSize)
		if l.sendBuffer > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, l.sendBuffer)
		}
	})
}

// SetLimits changes the limit on open connections and on the bytes of all headers that are being received; 0 means no limit.
func (l *Listener) SetLimits(connections int, header oleanderline.ByteCount) {
	l.limit.Store(int64(connections))
	l.headerLimit.Store(int64(header))
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: inner, listener: l}
		if l.admit(c) {
			return c, nil
		}
		_ = inner.Close()
		l.report(reasonBusy)
	}
}

// admit adds a connection. If the limit is reached, it closes another one, or returns false if all others are being answered.
func (l *Listener) admit(c *conn) bool {
	now := l.clock.Now()
	c.enter(phaseWaiting, now)
	for {
		l.mu.Lock()
		if limit := int(l.limit.Load()); limit == 0 || len(l.conns) < limit {
			l.conns[c] = struct{}{}
			l.mu.Unlock()
			return true
		}
		victim := l.victim(now)
		l.mu.Unlock()
		if victim == nil {
			return false
		}
		_ = victim.closeNow() // its client may have closed it
		l.report(reasonCrowded)
	}
}

// victim returns the connection that gives way to a new one, or nil.
func (l *Listener) victim(now time.Time) *conn {
	var victim *conn
	var worst candidate
	for c := range l.conns {
		if found := c.candidate(now); found.rank() != rankNever && (victim == nil || found.before(worst)) {
			victim, worst = c, found
		}
	}
	return victim
}

// addHeader counts bytes of a header. If the headers of all connections exceed their limit, it closes the connection with the largest.
func (l *Listener) addHeader(c *conn, n int) {
	c.header.Add(int64(n))
	limit := l.headerLimit.Load()
	if l.header.Add(int64(n)) <= limit || limit == 0 {
		return
	}
	if victim := l.largestHeader(); victim != nil {
		_ = victim.closeNow() // its client may have closed it
		l.report(reasonHeader)
	}
}

// largestHeader returns the connection whose header is the largest, unless all are small or another one has been closed since the limit
// was exceeded. The header no longer counts.
func (l *Listener) largestHeader() (victim *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.header.Load() <= l.headerLimit.Load() {
		return nil
	}
	largest := int64(smallHeader)
	for c := range l.conns {
		if size := c.header.Load(); size > largest {
			victim, largest = c, size
		}
	}
	if victim != nil {
		victim.endHeader()
	}
	return victim
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// report counts a closed connection and logs the number of them at intervals.
func (l *Listener) report(why reason) {
	l.closed[why].Inc()
	dropped := l.dropped.Add(1)
	if !l.logged.Allow(l.clock.Now()) {
		return
	}
	l.dropped.Add(-dropped)
	l.common.Event(common.EventClientsClosed).WithField("reason", why).WithField("closed", dropped).WithField("open", l.count()).
		Warn("connections of clients were closed at a limit")
}

// ConnState follows the connections of a server. It is for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok {
		tracked.track(state)
	}
}

// ConnContext passes a connection to the handlers of its requests. It is for http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
