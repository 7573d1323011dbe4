package minion

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

var errConnectionLimit = errors.New("all connections to the minion are in use")

// pool holds the connections of one entry to one minion.
type pool struct {
	settings  Settings
	address   string
	transport *http.Transport
	now       func() time.Time

	mu     sync.Mutex
	idle   []*conn // in order of last use, oldest first
	open   int     // number of connections that are idle, in use or being dialed
	limit  int
	closed bool
}

// reusePolicy states which idle connections an exchange may reuse.
type reusePolicy int

const (
	reuseAny    reusePolicy = iota // any that is not known to be broken
	reuseProven                    // only those that answered within AliveWindow
	reuseNone                      // none: open a new connection
)

// get returns an idle connection or opens a new one. The connection counts towards the limit until put or discard is
// called.
func (p *pool) get(ctx context.Context, policy reusePolicy) (c *conn, reused bool, err error) {
	p.mu.Lock()
	if c := p.reuseLocked(policy); c != nil {
		p.mu.Unlock()
		return c, true, nil
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		p.discardLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return nil, false, errConnectionLimit
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

// reuseLocked removes and returns the most recently used idle connection that the policy permits, or returns nil.
func (p *pool) reuseLocked(policy reusePolicy) *conn {
	for policy != reuseNone && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if policy == reuseProven && p.now().Sub(c.lastAnswerAt) > p.settings.AliveWindow {
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
	c := &conn{lastAnswerAt: p.now()}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, connKey{}, c), "http", p.address)
	if err != nil {
		return nil, err
	}
	c.http = client
	return c, nil
}

// put returns a connection to the pool after a complete answer.
func (p *pool) put(c *conn) {
	c.lastAnswerAt = p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit || c.http.Err() != nil {
		p.discardLocked(c)
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection instead of returning it to the pool.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *pool) discardLocked(c *conn) {
	p.open--
	c.tracked.terminate(0)
	_ = c.http.Close()
}

// setLimit sets the maximum number of open connections and closes excess idle ones. Excess connections in use are closed
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

// closeExpired closes the connections that have been idle for longer than IdleTimeout.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastAnswerAt) > p.settings.IdleTimeout {
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
