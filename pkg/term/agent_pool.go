package term

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

const (
	checkInterval = 100 * time.Millisecond
	// lateCheck is the time since the previous check from which the leader counts as stalled itself.
	lateCheck = 3 * checkInterval
	// agentWait is how long a worker may be without a link before the leader serves it beyond its own capacity, because the
	// leases of runs that an earlier leader started need renewal.
	agentWait = 600 * time.Millisecond
	// overloadFactor times its capacity is the most workers that the leader serves.
	overloadFactor = 2
	// spareAgentShare is the spare agent capacity to invite, as a share of the workers that need an agent, so that the loss of
	// one agent leaves no worker unserved.
	spareAgentShare = 0.15
	inviteTimeout   = time.Second
	// inviteBackoff is how long a process is not invited again after it did not accept or was lost. With the time until the loss
	// is noticed (1.5 s), it leaves time to renew the leases of 4 s if the process has been restarted at once.
	inviteBackoff = time.Second
)

var errUnserved = errors.New("no process has capacity to serve it")

// agentPool decides which process serves each worker, that is renews its leases and sends it orders. The leader serves as many
// workers as its capacity allows; agents (other processes of the cell) serve the rest. It exists for sites where not even the
// largest VM can call all workers.
type agentPool struct {
	session     *Session
	ownCapacity int // how many workers this process can serve beside its other work
	ownWorkers  int // how many workers this process serves
	lastCheck   time.Time
	// unservedSince is since when some worker has had no link; zero if all have one.
	unservedSince time.Time
	inviting      map[oleanderline.VMID]struct{}  // processes whose invitation is not answered yet
	retryAt       map[oleanderline.VMID]time.Time // when a process may be invited again after a refusal or loss
	refusing      map[oleanderline.VMID]struct{}  // processes whose last invitation was not accepted
	capacities    map[oleanderline.VMID]int       // how many workers each agent can serve
	// leaseEnds holds, for workers without a link, the latest expiry of leases granted there in this term.
	leaseEnds map[oleanderline.WorkerID]time.Time
}

func newAgentPool(s *Session) *agentPool {
	return &agentPool{
		session: s, ownCapacity: s.settings.Limits.MaxWorkersAsLeader(),
		inviting: map[oleanderline.VMID]struct{}{}, retryAt: map[oleanderline.VMID]time.Time{},
		refusing: map[oleanderline.VMID]struct{}{}, capacities: map[oleanderline.VMID]int{}, leaseEnds: map[oleanderline.WorkerID]time.Time{},
	}
}

// check unassigns the workers of agents that are lost or about to stop, assigns unserved workers, and invites more agents if needed.
func (p *agentPool) check(now time.Time) {
	elapsed := now.Sub(p.lastCheck)
	if elapsed < checkInterval {
		return
	}
	s := p.session
	if !p.lastCheck.IsZero() && elapsed > lateCheck {
		s.roster.ExtendTimeouts(elapsed) // the leader was stalled, so agents could not reach it
	}
	p.lastCheck = now
	for _, id := range s.roster.RemoveLost(now) {
		if l := s.links[id]; l != nil && l.agent != "" {
			p.markLost(l.agent, now)
			p.leaseEnds[id] = s.disconnect(id)
		}
	}
	unserved := s.planner.WorkerCount() - len(s.links)
	if unserved == 0 {
		p.unservedSince = time.Time{}
	} else if p.unservedSince.IsZero() {
		p.unservedSince = now
	}
	p.inviteMore(now)
	if unserved > 0 {
		s.connectWorkers()
	}
	p.expireLeases(now)
}

// expireLeases reports the expiry of all leases on workers without a link, as a link does for a worker that does not answer. It
// repeats this, because the planner keeps a task whose start has no result yet.
func (p *agentPool) expireLeases(now time.Time) {
	planner := p.session.planner
	for id, end := range p.leaseEnds {
		switch {
		case !planner.HasWorker(id):
			delete(p.leaseEnds, id)
		case !end.IsZero() && now.After(end) && p.session.ledAt(end):
			planner.CallFailed(id, errUnserved)
			planner.LeaseExpired(id, plan.Expiry{End: end}, now)
		}
	}
}

// markLost counts and logs the loss of an agent once, although it is called for each of its workers.
func (p *agentPool) markLost(vm oleanderline.VMID, now time.Time) {
	if now.Before(p.retryAt[vm]) {
		return
	}
	p.retryAt[vm] = now.Add(inviteBackoff)
	p.session.metrics.agentsLost.Inc()
	p.session.common.Event(common.EventAgentLost).WithField("vm", vm).Warn("agent lost or stopping; its workers are reassigned")
}

// chooseServer returns the process that is to serve one more worker: an agent, or "" for this process. It returns false if none
// has capacity.
func (p *agentPool) chooseServer(now time.Time) (oleanderline.VMID, bool) {
	if p.ownWorkers < p.ownCapacity {
		return "", true
	}
	best, bestFree := oleanderline.VMID(""), 0
	for vm, load := range p.session.roster.Loads() {
		free := p.capacities[vm] - load
		if free > bestFree || (free == bestFree && free > 0 && vm < best) {
			best, bestFree = vm, free
		}
	}
	if bestFree > 0 {
		return best, true
	}
	overdue := !p.unservedSince.IsZero() && now.Sub(p.unservedSince) >= agentWait
	return "", overdue && p.ownWorkers < overloadFactor*p.ownCapacity
}

// inviteMore invites processes to be agents until the capacity of all agents, including the spare, covers the workers that the
// leader cannot serve itself.
func (p *agentPool) inviteMore(now time.Time) {
	s := p.session
	needed := s.planner.WorkerCount() - p.ownCapacity
	if needed <= 0 || s.ports.Invite == nil {
		return
	}
	capacity := 0
	for vm, size := range p.capacities {
		if s.roster.Has(vm) {
			capacity += size
		}
	}
	target := int(math.Ceil((1 + spareAgentShare) * float64(needed)))
	if capacity >= target {
		return
	}
	for _, candidate := range p.candidates(now) {
		if capacity >= target {
			return
		}
		capacity += candidate.capacity
		p.capacities[candidate.vm] = candidate.capacity
		p.inviting[candidate.vm] = struct{}{}
		number := s.roster.AddInvited(candidate.vm)
		s.wg.Go(func() { s.sendInvitation(candidate, number) })
	}
}

type candidate struct {
	vm       oleanderline.VMID
	address  string
	capacity int
}

// candidates returns the processes that can be invited, largest capacity first.
func (p *agentPool) candidates(now time.Time) []candidate {
	var list []candidate
	for vm, node := range p.session.replica.Nodes() {
		_, pending := p.inviting[vm]
		if vm == p.session.settings.VM || node.Address == "" || pending || now.Before(p.retryAt[vm]) || p.session.roster.Has(vm) {
			continue
		}
		list = append(list, candidate{vm, node.Address, node.MaxWorkersAsAgent()})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.capacity, b.capacity), cmp.Compare(a.vm, b.vm))
	})
	return list
}

// handleInviteAnswer records the outcome of an invitation. A process that did not accept is not invited again for inviteBackoff.
// Only the first of its refusals in a row is logged.
func (p *agentPool) handleInviteAnswer(vm oleanderline.VMID, err error, now time.Time) {
	delete(p.inviting, vm)
	if err == nil {
		delete(p.refusing, vm)
		return
	}
	p.retryAt[vm] = now.Add(inviteBackoff)
	if _, again := p.refusing[vm]; again {
		return
	}
	p.refusing[vm] = struct{}{}
	p.session.common.Event(common.EventAgentRefused).WithField("vm", vm).WithError(err).Warn("invitation to serve workers not accepted; retrying later")
}

// sendInvitation sends an invitation and posts its outcome. The agent's first pull may arrive before its answer.
func (s *Session) sendInvitation(to candidate, number int64) {
	ctx, cancel := context.WithTimeout(s.ctx, inviteTimeout)
	defer cancel()
	err := s.ports.Invite(ctx, to.address, agent.Invitation{
		Term: s.settings.Leader.Term, Number: number, Address: s.settings.Address,
		Lease: s.settings.Lease, MaxLease: s.settings.MaxLease, Hold: s.settings.RenewWait,
	})
	s.post(inviteAnswered{to.vm, err})
}

// Pull answers an agent's request for items. The reply is empty once the term has ended.
func (s *Session) Pull(ctx context.Context, request agent.PullRequest) agent.PullReply {
	if s.ended.Load() {
		return agent.PullReply{}
	}
	return s.roster.Pull(ctx, request)
}

// Push handles a batch of events from an agent. The reply is empty once the term has ended.
func (s *Session) Push(request agent.PushRequest) agent.PushReply {
	if s.ended.Load() {
		return agent.PushReply{}
	}
	return s.roster.Push(request)
}
