package standin

import (
	"net"
	"sync"
)

// Listener wraps a listener with a bound on the open connections and a switch that makes open connections go silent.
type Listener struct {
	net.Listener

	mu      sync.Mutex
	limit   int // 0: none
	open    map[*conn]bool
	peak    int
	refused int
}

// NewListener wraps inner. A connection above the limit is closed as soon as it is accepted; a limit of 0 means none.
func NewListener(inner net.Listener, limit int) *Listener {
	return &Listener{Listener: inner, limit: limit, open: map[*conn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.add(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

func (l *Listener) add(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	l.open[c] = true
	l.peak = max(l.peak, len(l.open))
	return c
}

// Silence makes all open connections swallow packets in both directions for good, and returns their number. New
// connections work.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.setSilent()
	}
	return len(l.open)
}

// Peak returns the highest number of connections that were open at the same time.
func (l *Listener) Peak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// Refused returns the number of connections above the limit.
func (l *Listener) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is one connection that can go silent.
type conn struct {
	net.Conn

	listener *Listener
	mu       sync.Mutex
	silent   bool
}

// Read implements net.Conn. On a silent connection it returns only when the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}
