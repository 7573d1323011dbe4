package standin

import (
	"net"
	"sync"
)

// Listener wraps a listener. It limits the number of open connections and can silence them.
type Listener struct {
	net.Listener

	mu        sync.Mutex
	maxOpen   int // 0 means unlimited
	openConns map[*conn]bool
	peakOpen  int
	refused   int
}

// NewListener wraps inner. Connections over the limit maxOpen are closed as soon as they are accepted; 0 means unlimited.
func NewListener(inner net.Listener, maxOpen int) *Listener {
	return &Listener{Listener: inner, maxOpen: maxOpen, openConns: map[*conn]bool{}}
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
	if l.maxOpen > 0 && len(l.openConns) >= l.maxOpen {
		l.refused++
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	l.openConns[c] = true
	l.peakOpen = max(l.peakOpen, len(l.openConns))
	return c
}

// Silence makes all open connections drop the data in both directions permanently, and returns their number. New
// connections are not affected.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		c.setSilent()
	}
	return len(l.openConns)
}

// Peak returns the maximum number of connections that were open at the same time.
func (l *Listener) Peak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakOpen
}

// Refused returns the number of connections that were closed because of the limit.
func (l *Listener) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openConns, c)
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn

	listener *Listener
	mu       sync.Mutex
	silent   bool
}

// Read implements net.Conn. On a silenced connection it discards the data and returns only when the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silenced connection it discards the data.
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
