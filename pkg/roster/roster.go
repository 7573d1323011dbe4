// Package roster is the leader's side of the connections to its agents. It queues the items to send to each agent, handles the
// events that agents report, and detects lost agents. An agent is a process that serves a part of the workers for the leader.
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
	// pullWait is how long a pull waits for items. Each reply renews the agent's authority to send orders.
	pullWait = 200 * time.Millisecond
	// maxReplyItems bounds the items in one reply.
	maxReplyItems = 256
	// agentTimeout is the time without a pull after which an agent is lost. Most of the lease time of its workers is then still
	// left.
	agentTimeout = 1500 * time.Millisecond
	// maxPayloads bounds the payloads that an agent caches.
	maxPayloads = 256
)

// Settings of a Roster.
type Settings struct {
	Term  oleanderline.Term
	Lease time.Duration
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// AuthorityEnd returns until when the leader may send orders, as far as is known now.
	AuthorityEnd func(now time.Time) time.Time
}

// Roster holds the agents of one term. It is safe for concurrent use.
type Roster struct {
	clock    oleanderline.Clock
	settings Settings
	events   link.Events

	mu         sync.Mutex
	agents     map[oleanderline.VMID]*agentState
	lastNumber int64 // of invitations and assignments, which share one sequence
}

// agentState is the state of an agent that was invited.
type agentState struct {
	invitation   int64 // number of the invitation
	pulled       bool
	lastContact  time.Time // last pull, or the invitation
	leaving      bool
	items        []agent.Item // items whose receipt is not confirmed
	lastItem     int64        // number of the newest item
	lastBatch    int64        // number of the newest batch of events that was accepted
	authorityEnd time.Time    // until when it may send orders
	payloads     map[oleanderline.JobID]struct{}
	workers      map[oleanderline.WorkerID]*Worker
	wake         chan struct{}
	// batchSlot holds an element while a batch of events is handled, so that batches are handled one at a time.
	batchSlot chan struct{}
}

// New returns a roster without agents.
func New(clock oleanderline.Clock, settings Settings, events link.Events) *Roster {
	return &Roster{clock: clock, settings: settings, events: events, agents: map[oleanderline.VMID]*agentState{}}
}

// AddInvited adds an agent that is about to be invited, and returns the number of the invitation. The agent counts as lost unless
// it pulls within agentTimeout.
func (r *Roster) AddInvited(vm oleanderline.VMID) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	r.agents[vm] = &agentState{
		invitation: r.lastNumber, lastContact: r.clock.Now(), payloads: map[oleanderline.JobID]struct{}{},
		workers: map[oleanderline.WorkerID]*Worker{}, wake: make(chan struct{}, 1), batchSlot: make(chan struct{}, 1),
	}
	return r.lastNumber
}

// Loads returns how many workers each agent serves, without agents that have not pulled yet or are about to stop.
func (r *Roster) Loads() map[oleanderline.VMID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := map[oleanderline.VMID]int{}
	for vm, a := range r.agents {
		if a.pulled && !a.leaving {
			loads[vm] = len(a.workers)
		}
	}
	return loads
}

// Has reports whether an agent was invited and is not lost.
func (r *Roster) Has(vm oleanderline.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[vm] != nil
}

// Assign assigns a worker to an agent. It returns nil if the agent is lost or about to stop. leaseEnd is the latest expiry of
// leases granted on the worker earlier in this term; zero if there were none.
func (r *Roster) Assign(vm oleanderline.VMID, id oleanderline.WorkerID, address string, leaseEnd time.Time, acked plan.Acked) *Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[vm]
	if a == nil || a.leaving {
		return nil
	}
	r.lastNumber++
	w := &Worker{roster: r, agent: a, id: id, assignment: r.lastNumber, pending: map[orderKey]plan.Order{}, leaseEnd: leaseEnd}
	a.workers[id] = w
	a.enqueue(agent.Item{Kind: agent.ItemAssign, Worker: id, Address: address, Serves: w.assignment, Acked: acked})
	return w
}

// ExtendTimeouts gives all agents more time to pull, because the leader itself was stalled for that long.
func (r *Roster) ExtendTimeouts(stalled time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.agents {
		a.lastContact = a.lastContact.Add(stalled)
	}
}

// AuthorityEnd returns until when an agent may still send orders, by the authority that was granted; the zero time if there is none.
func (r *Roster) AuthorityEnd() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var end time.Time
	for _, a := range r.agents {
		if a.authorityEnd.After(end) {
			end = a.authorityEnd
		}
	}
	return end
}

// RemoveLost removes the agents that have not pulled within agentTimeout. It returns the workers that they served, and those of
// agents that are about to stop.
func (r *Roster) RemoveLost(now time.Time) []oleanderline.WorkerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []oleanderline.WorkerID
	for vm, a := range r.agents {
		lost := now.Sub(a.lastContact) >= agentTimeout
		if lost {
			delete(r.agents, vm)
		}
		if lost || a.leaving {
			for id := range a.workers {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// Pull answers an agent's request for items.
func (r *Roster) Pull(ctx context.Context, request agent.PullRequest) agent.PullReply {
	a := r.lookup(request.Agent, request.Term, request.Invitation)
	if a == nil {
		return agent.PullReply{}
	}
	r.mu.Lock()
	a.lastContact, a.pulled = r.clock.Now(), true
	a.leaving = a.leaving || request.Leaving
	a.dropReceived(request.Got)
	empty := len(a.items) == 0
	r.mu.Unlock()
	if empty {
		r.waitForItems(ctx, a)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	a.lastContact = now
	authorityEnd := r.settings.AuthorityEnd(now)
	if authorityEnd.After(a.authorityEnd) {
		a.authorityEnd = authorityEnd
	}
	return agent.PullReply{Known: true, Now: now, Authority: max(0, authorityEnd.Sub(now)), Items: a.nextItems(now)}
}

func (r *Roster) waitForItems(ctx context.Context, a *agentState) {
	timer := r.clock.NewTimer(pullWait)
	defer timer.Stop()
	select {
	case <-a.wake:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// lookup returns the agent that sent a request, or nil if the request belongs to another term or invitation.
func (r *Roster) lookup(vm oleanderline.VMID, term oleanderline.Term, invitation int64) *agentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[vm]
	if a == nil || term != r.settings.Term || invitation != a.invitation {
		return nil
	}
	return a
}

// Push handles a batch of events from an agent. It drops events about workers that the agent does not serve any more.
func (r *Roster) Push(request agent.PushRequest) agent.PushReply {
	a := r.lookup(request.Agent, request.Term, request.Invitation)
	if a == nil {
		return agent.PushReply{}
	}
	a.batchSlot <- struct{}{}
	defer func() { <-a.batchSlot }()
	r.mu.Lock()
	repeated := request.Number <= a.lastBatch
	a.lastBatch = max(a.lastBatch, request.Number)
	r.mu.Unlock()
	if repeated {
		return agent.PushReply{Known: true}
	}
	for _, event := range request.Events {
		r.handleEvent(a, event)
	}
	return agent.PushReply{Known: true}
}

func (r *Roster) handleEvent(a *agentState, event agent.Event) {
	r.mu.Lock()
	w := a.workers[event.Worker]
	current := w != nil && w.assignment == event.Serves
	if current && event.Kind == agent.EventResult {
		current = w.takePending(event.Order)
	}
	r.mu.Unlock()
	if !current {
		return
	}
	switch event.Kind {
	case agent.EventReport:
		r.events.Report(event.Worker, event.Report, earlier(event.Sent, r.clock.Now()))
	case agent.EventResult:
		r.events.Result(plan.Result{Order: event.Order, Attempts: event.Attempts, Took: event.Took, Err: event.Failure.Err()})
	case agent.EventCallFailed:
		r.events.CallFailed(event.Worker, event.Failure.Err())
	case agent.EventLeaseExpired:
		r.events.LeaseExpired(event.Worker, plan.Expiry{End: event.LeaseEnd})
	case agent.EventAnsweredLeasesExpired:
		r.events.LeaseExpired(event.Worker, plan.Expiry{End: event.LeaseEnd, AnsweredOnly: true})
	case agent.EventReplaced:
		r.events.Replaced(event.Worker, earlier(event.Sent, r.clock.Now()))
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

// enqueue numbers and queues an item. The caller holds the roster's mutex.
func (a *agentState) enqueue(item agent.Item) {
	a.lastItem++
	item.Number = a.lastItem
	a.items = append(a.items, item)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// dropReceived drops the items up to number got, which the agent has received. The caller holds the roster's mutex.
func (a *agentState) dropReceived(got int64) {
	kept := 0
	for kept < len(a.items) && a.items[kept].Number <= got {
		kept++
	}
	a.items = a.items[kept:]
}

// nextItems returns the items of the next reply. The caller holds the roster's mutex.
func (a *agentState) nextItems(now time.Time) []agent.Item {
	items := make([]agent.Item, min(len(a.items), maxReplyItems))
	copy(items, a.items)
	for i := range items {
		if w := a.workers[items[i].Worker]; items[i].Kind == agent.ItemAssign && w != nil && !w.leaseEnd.IsZero() {
			items[i].LeaseLeft = max(time.Millisecond, w.leaseEnd.Sub(now))
		}
	}
	return items
}
