package minion

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

var errBound = errors.New("all connections to the minion are in use")

// pool holds the connections of one entry to one minion.
type pool struct {
	settings  Settings
	address   string
	transport *http.Transport
	now       func() time.Time

	mu     sync.Mutex
	idle   []*conn // least recently used first
	open   int     // idle, in use or being dialed
	limit  int
	closed bool
}

// need tells which connections an exchange accepts.
type need int

const (
	needAny    need = iota // any connection that is not known to be broken
	needProved             // one that answered within the bound, or a fresh one
	needFresh              // a new one
)

// get returns an idle connection or a new one. A connection in use counts against the limit until put or discard.
func (p *pool) get(ctx context.Context, n need) (c *conn, reused bool, err error) {
	p.mu.Lock()
	if c := p.reuseLocked(n); c != nil {
		p.mu.Unlock()
		return c, true, nil
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.discardLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, false, errBound
	}
	p.open++
	p.mu.Unlock()
	c, err = p.dial(ctx)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, false, err
	}
	return c, false, nil
}

func (p *pool) reuseLocked(n need) *conn {
	for n != needFresh && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if n == needProved && p.now().Sub(c.answered) > p.settings.ProvedAlive {
			return nil
		}
		p.idle = p.idle[:last]
		if c.http.Err() == nil {
			return c
		}
		p.discardLocked(c)
	}
	return nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	c := &conn{answered: p.now()}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, c), "http", p.address)
	if err != nil {
		return nil, err
	}
	c.http = client
	return c, nil
}

// put returns a connection after a whole answer.
func (p *pool) put(c *conn) {
	c.answered = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit || c.http.Err() != nil {
		p.discardLocked(c)
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that was in use.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *pool) discardLocked(c *conn) {
	p.open--
	c.wire.seal(0)
	_ = c.http.Close()
}

// setLimit changes the number of connections that may be open and closes idle ones above it. Those in use are closed
// after their answer.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		p.discardLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// sweep closes the connections that have been idle for too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].answered) > p.settings.IdleTimeout {
		p.discardLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// close closes the idle connections. Those in use are closed after their answer.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discardLocked(c)
	}
	p.idle = nil
}

// count returns the number of open connections.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
