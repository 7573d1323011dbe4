// Package bodygate lets request bodies wait for their share of a memory budget.
package bodygate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/bodybudget"
)

// ErrFull means that no memory became free in time, or that the body gave way to others.
var ErrFull = errors.New("too many large requests are being received")

// Gate is a bodybudget.Budget for concurrent use.
type Gate struct {
	clock oleanderline.Clock

	mu     sync.Mutex
	budget *bodybudget.Budget
	grants map[bodybudget.ID]*Grant
	// watching is set while a goroutine looks for bodies that have to give way.
	watching bool
}

// Grant is the permission to hold one body in memory.
type Grant struct {
	gate     *Gate
	id       bodybudget.ID
	evict    func()
	admitted chan struct{} // closed on admission
}

// New returns a Gate with a budget of total bytes. Bodies that are younger than grace are not evicted.
func New(clock oleanderline.Clock, total oleanderline.ByteCount, grace time.Duration) *Gate {
	return &Gate{clock: clock, budget: bodybudget.New(total, grace), grants: map[bodybudget.ID]*Grant{}}
}

// SetTotal changes the budget. Bodies that have been admitted keep their memory.
func (g *Gate) SetTotal(total oleanderline.ByteCount) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open(g.budget.SetTotal(total, g.clock.Now()))
}

// Used returns how many bytes are allocated to bodies.
func (g *Gate) Used() oleanderline.ByteCount {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used()
}

// Acquire waits until a body of the given size may be held. It fails with ErrFull when ctx is done before, and at once if too many wait.
// evict is called at most once, between the admission and Complete or Release, if the body has to give way; it must not call methods of
// the Gate or the Grant.
func (g *Gate) Acquire(ctx context.Context, size oleanderline.ByteCount, evict func()) (*Grant, error) {
	grant := &Grant{gate: g, evict: evict, admitted: make(chan struct{})}
	g.mu.Lock()
	id, result := g.budget.Add(size, g.clock.Now())
	if result == bodybudget.Refused {
		g.mu.Unlock()
		return nil, ErrFull
	}
	grant.id = id
	g.grants[id] = grant
	if result == bodybudget.Waiting && !g.watching {
		g.watching = true
		go g.watch()
	}
	g.mu.Unlock()
	if result == bodybudget.Admitted {
		return grant, nil
	}
	select {
	case <-grant.admitted:
		return grant, nil
	case <-ctx.Done():
		grant.Release()
		return nil, ErrFull
	}
}

// maxWatchInterval bounds the time between two looks for a body that has to give way. Bodies that were admitted since the last look
// were not considered in it.
const maxWatchInterval = 200 * time.Millisecond

// watch makes bodies give way as long as others wait.
func (g *Gate) watch() {
	for {
		pause, waiting := g.evictDue()
		if !waiting {
			return
		}
		<-g.clock.NewTimer(pause).C()
	}
}

// evictDue makes bodies give way and returns how long to pause until the next look. It returns false if no body waits.
func (g *Gate) evictDue() (pause time.Duration, waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget.Waiting() == 0 {
		g.watching = false
		return 0, false
	}
	now := g.clock.Now()
	for {
		id, found := g.budget.Evict(now)
		if !found {
			break
		}
		g.grants[id].evict()
	}
	if at, found := g.budget.NextEviction(); found {
		return min(max(at.Sub(now), time.Millisecond), maxWatchInterval), true
	}
	return maxWatchInterval, true
}

// open lets bodies pass that have been admitted.
func (g *Gate) open(admitted []bodybudget.ID) {
	for _, id := range admitted {
		close(g.grants[id].admitted)
	}
}

// Complete exempts the body from eviction. It returns false if the body has to give way.
func (gr *Grant) Complete() bool {
	gr.gate.mu.Lock()
	defer gr.gate.mu.Unlock()
	return gr.gate.budget.Complete(gr.id)
}

// Release gives the memory back. It may be called more than once.
func (gr *Grant) Release() {
	g := gr.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grants[gr.id] == nil {
		return
	}
	delete(g.grants, gr.id)
	g.open(g.budget.Remove(gr.id, g.clock.Now()))
}
