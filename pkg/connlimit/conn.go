package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
)

// conn is a connection of a client.
type conn struct {
	*net.TCPConn
	listener *Listener
	// phase is changed by the goroutine that serves the connection, and by Close.
	phase     atomic.Int32
	since     atomic.Int64 // when the phase began, in nanoseconds since the start of the listener, which jumps of the time of day do not change
	header    atomic.Int64 // bytes of the header that is being received
	used      atomic.Bool  // a request has been answered
	closeSoon atomic.Bool  // the next Close leaves the client time to read the answer
	closing   sync.Once
	closed    sync.Once
}

func (c *conn) enter(p phase, now time.Time) {
	c.since.Store(int64(now.Sub(c.listener.start)))
	c.phase.Store(int32(p))
}

func (c *conn) candidate(now time.Time) candidate {
	age := now.Sub(c.listener.start) - time.Duration(c.since.Load())
	return candidate{phase: phase(c.phase.Load()), used: c.used.Load(), age: age}
}

// Read implements net.Conn. It counts the bytes of headers.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		switch phase(c.phase.Load()) {
		case phaseWaiting:
			c.enter(phaseHeader, c.listener.clock.Now())
			c.listener.addHeader(c, n)
		case phaseHeader:
			c.listener.addHeader(c, n)
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not take the data within the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	now, before := c.listener.clock.Now(), phase(c.phase.Load())
	c.enter(phaseSending, now)
	defer c.phase.CompareAndSwap(int32(phaseSending), int32(before))
	if err := c.SetWriteDeadline(now.Add(c.listener.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn. After CloseSoon it closes the connection for writing, and completely after lingerTime: closing a connection
// with unread bytes resets it, which could destroy the answer before the client has read it.
func (c *conn) Close() error {
	if !c.closeSoon.Load() {
		return c.closeNow()
	}
	c.closing.Do(func() {
		c.enter(phaseClosing, c.listener.clock.Now())
		_ = c.CloseWrite() // fails if the client has closed the connection
		time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	})
	return nil
}

func (c *conn) closeNow() error {
	err := net.ErrClosed
	c.closed.Do(func() {
		c.listener.remove(c)
		c.endHeader()
		err = c.TCPConn.Close()
	})
	c.endHeader() // the serving goroutine may have read bytes of a header after another one has closed the connection
	return err
}

// endHeader ends the count of the bytes of a header.
func (c *conn) endHeader() { c.listener.header.Add(-c.header.Swap(0)) }

type connKey struct{}

func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// SetReceiving marks the connection of a request as receiving a body, so that it may be closed in favor of a new one. Like all functions
// with a context, it does nothing for a request that did not arrive through a Listener.
func SetReceiving(ctx context.Context) {
	if c := fromContext(ctx); c != nil {
		c.enter(phaseReceiving, c.listener.clock.Now())
	}
}

// SetWorking marks the connection of a request as in use by this process, so that it is not closed.
func SetWorking(ctx context.Context) {
	if c := fromContext(ctx); c != nil {
		c.phase.CompareAndSwap(int32(phaseReceiving), int32(phaseWorking))
	}
}

// CloseSoon makes the server's close of the connection of a request leave the client time to read the answer, although bytes of the
// request are unread.
func CloseSoon(ctx context.Context) {
	if c := fromContext(ctx); c != nil {
		c.closeSoon.Store(true)
	}
}

// SetReadBuffer sets the size of the receive buffer of the connection of a request.
func SetReadBuffer(ctx context.Context, size oleanderline.ByteCount) {
	if c := fromContext(ctx); c != nil {
		_ = c.TCPConn.SetReadBuffer(int(size)) // the connection works without
	}
}

// track follows the states of a connection as net/http reports them.
func (c *conn) track(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.endHeader()
		c.phase.Store(int32(phaseWorking))
	case http.StateIdle:
		c.used.Store(true)
		c.enter(phaseWaiting, c.listener.clock.Now())
	}
}
