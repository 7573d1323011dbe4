// Package roster is a leader's side of its agents: what each has to be told, what each has told, and which are lost.
package roster

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

const (
	// pullWait is how long a pull waits for items. Each reply renews the agent's permission.
	pullWait = 200 * time.Millisecond
	// itemsAtOnce bounds a reply.
	itemsAtOnce = 256
	// lostAfter is how long an agent may stay away. Its workers then still have most of their leases.
	lostAfter = 1500 * time.Millisecond
	// payloadsKept bounds the payloads that an agent remembers.
	payloadsKept = 256
)

// Settings of a Roster.
type Settings struct {
	Term  oleanderline.Term
	Lease time.Duration
	// AuthorityEnd returns until when orders may be given, as far as is known now.
	AuthorityEnd func(now time.Time) time.Time
}

// Roster keeps the agents of one term. It is safe for concurrent use.
type Roster struct {
	clock    oleanderline.Clock
	settings Settings
	events   link.Events

	mu      sync.Mutex
	members map[oleanderline.VMID]*member
	numbers int64 // of invitations and assignments
}

// member is an agent that was invited.
type member struct {
	invitation int64 // its number
	pulled     bool
	seen       time.Time // when it pulled last, or was invited
	leaving    bool
	items      []agent.Item // that it may not have got
	number     int64        // of the newest item
	pushed     int64        // the newest batch of events that was taken in
	granted    time.Time    // until when it may give orders
	payloads   map[oleanderline.JobID]struct{}
	workers    map[oleanderline.WorkerID]*Worker
	wake       chan struct{}
	// pushing has an element while a batch of events is taken in, so that batches follow one another.
	pushing chan struct{}
}

// New returns a roster without agents.
func New(clock oleanderline.Clock, settings Settings, events link.Events) *Roster {
	return &Roster{clock: clock, settings: settings, events: events, members: map[oleanderline.VMID]*member{}}
}

// Invite adds an agent that is about to be invited, and returns the number of the invitation. The agent counts as lost unless
// it pulls soon.
func (r *Roster) Invite(vm oleanderline.VMID) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers++
	r.members[vm] = &member{
		invitation: r.numbers, seen: r.clock.Now(), payloads: map[oleanderline.JobID]struct{}{},
		workers: map[oleanderline.WorkerID]*Worker{}, wake: make(chan struct{}, 1), pushing: make(chan struct{}, 1),
	}
	return r.numbers
}

// Loads returns how many workers each agent serves, of those that can serve more.
func (r *Roster) Loads() map[oleanderline.VMID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := map[oleanderline.VMID]int{}
	for vm, m := range r.members {
		if m.pulled && !m.leaving {
			loads[vm] = len(m.workers)
		}
	}
	return loads
}

// Knows reports whether an agent was invited and is not lost.
func (r *Roster) Knows(vm oleanderline.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members[vm] != nil
}

// Serve has an agent serve a worker, and returns nil if the agent is lost. leaseEnd is when all has lapsed that was ordered
// there before in this term; zero if nothing was.
func (r *Roster) Serve(vm oleanderline.VMID, id oleanderline.WorkerID, address string, leaseEnd time.Time, acked plan.Acked) *Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[vm]
	if m == nil || m.leaving {
		return nil
	}
	r.numbers++
	w := &Worker{roster: r, member: m, id: id, serves: r.numbers, open: map[orderKey]plan.Order{}, leaseEnd: leaseEnd}
	m.workers[id] = w
	m.add(agent.Item{Kind: agent.ItemServe, Worker: id, Address: address, Serves: w.serves, Acked: acked})
	return w
}

// Extend gives all agents more time: the leader has been late by that much itself.
func (r *Roster) Extend(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		m.seen = m.seen.Add(late)
	}
}

// Lost removes the agents that stayed away, or are about to stop, and returns the workers that they served.
func (r *Roster) Lost(now time.Time) []oleanderline.WorkerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []oleanderline.WorkerID
	for vm, m := range r.members {
		lost := now.Sub(m.seen) >= lostAfter
		if lost {
			delete(r.members, vm)
		}
		if lost || m.leaving {
			for id := range m.workers {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// Pull answers an agent that asks for items.
func (r *Roster) Pull(ctx context.Context, request agent.PullRequest) agent.PullReply {
	m := r.member(request.Agent, request.Term, request.Invitation)
	if m == nil {
		return agent.PullReply{}
	}
	r.mu.Lock()
	m.seen, m.pulled = r.clock.Now(), true
	m.leaving = m.leaving || request.Leaving
	m.forget(request.Got)
	waits := len(m.items) == 0
	r.mu.Unlock()
	if waits {
		r.wait(ctx, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	m.seen = now
	end := r.settings.AuthorityEnd(now)
	if end.After(m.granted) {
		m.granted = end
	}
	return agent.PullReply{Known: true, Now: now, Authority: max(0, end.Sub(now)), Items: m.next(now)}
}

func (r *Roster) wait(ctx context.Context, m *member) {
	timer := r.clock.NewTimer(pullWait)
	defer timer.Stop()
	select {
	case <-m.wake:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// member returns the agent that sent a request, or nil if it is not one of this term, or was invited anew.
func (r *Roster) member(vm oleanderline.VMID, term oleanderline.Term, invitation int64) *member {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[vm]
	if m == nil || term != r.settings.Term || invitation != m.invitation {
		return nil
	}
	return m
}

// Push takes in the events of an agent. An event about a worker that the agent does not serve any more is dropped.
func (r *Roster) Push(request agent.PushRequest) agent.PushReply {
	m := r.member(request.Agent, request.Term, request.Invitation)
	if m == nil {
		return agent.PushReply{}
	}
	m.pushing <- struct{}{}
	defer func() { <-m.pushing }()
	r.mu.Lock()
	repeated := request.Number <= m.pushed
	m.pushed = max(m.pushed, request.Number)
	r.mu.Unlock()
	if repeated {
		return agent.PushReply{Known: true}
	}
	for _, event := range request.Events {
		r.take(m, event)
	}
	return agent.PushReply{Known: true}
}

func (r *Roster) take(m *member, event agent.Event) {
	r.mu.Lock()
	w := m.workers[event.Worker]
	known := w != nil && w.serves == event.Serves
	if known && event.Kind == agent.EventResult {
		known = w.answered(event.Order)
	}
	r.mu.Unlock()
	if !known {
		return
	}
	switch event.Kind {
	case agent.EventReport:
		r.events.Report(event.Worker, event.Report, earlier(event.Sent, r.clock.Now()))
	case agent.EventResult:
		r.events.Result(plan.Result{Order: event.Order, Attempts: event.Attempts, Err: event.Failure.Err()})
	case agent.EventCallFailed:
		r.events.CallFailed(event.Worker, event.Failure.Err())
	case agent.EventLeaseExpired:
		r.events.LeaseExpired(event.Worker)
	case agent.EventFenced:
		r.events.Fenced(event.Worker)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// add queues an item. The caller holds the roster's mutex.
func (m *member) add(item agent.Item) {
	m.number++
	item.Number = m.number
	m.items = append(m.items, item)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// forget drops the items that have arrived. The caller holds the roster's mutex.
func (m *member) forget(got int64) {
	kept := 0
	for kept < len(m.items) && m.items[kept].Number <= got {
		kept++
	}
	m.items = m.items[kept:]
}

// next returns the items of one reply. The caller holds the roster's mutex.
func (m *member) next(now time.Time) []agent.Item {
	items := make([]agent.Item, min(len(m.items), itemsAtOnce))
	copy(items, m.items)
	for i := range items {
		if w := m.workers[items[i].Worker]; items[i].Kind == agent.ItemServe && w != nil && !w.leaseEnd.IsZero() {
			items[i].LeaseLeft = max(time.Millisecond, w.leaseEnd.Sub(now))
		}
	}
	return items
}
