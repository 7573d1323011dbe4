package term

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	poolInterval = 100 * time.Millisecond
	// lateLook is the time between looks from which on the leader counts as late itself.
	lateLook = 3 * poolInterval
	// agentWait is how long a worker waits for an agent before the leader serves it beyond its own share. Runs of an earlier
	// leader need their leases renewed.
	agentWait = 600 * time.Millisecond
	// overload bounds how many workers the leader serves beyond its share.
	overload = 2
	// spareAgents is the part of the workers for which more agents are invited than needed, so that the loss of one leaves no
	// worker without.
	spareAgents = 0.15
	inviteLimit = time.Second
	// inviteAgain is how long a process that did not accept, or was lost, is left alone.
	inviteAgain = 3 * time.Second
)

// agentPool decides which process serves which worker. The leader serves as many workers as fit beside its other duties; agents
// serve the others. It answers sites whose strongest VM cannot call all workers.
type agentPool struct {
	session *Session
	own     int // workers that this process can serve beside its other duties
	serves  int // workers that this process serves
	looked  time.Time
	// waits is since when some worker has had no link; zero if all have.
	waits    time.Time
	inviting map[oleanderline.VMID]struct{}
	failed   map[oleanderline.VMID]time.Time
	sizes    map[oleanderline.VMID]int // how many workers each agent can serve
	// leaseEnds holds, for workers without a link, when all has lapsed that was ordered there in this term.
	leaseEnds map[oleanderline.WorkerID]time.Time
}

func newAgentPool(s *Session) *agentPool {
	return &agentPool{
		session: s, own: s.settings.Limits.ForLeader(),
		inviting: map[oleanderline.VMID]struct{}{}, failed: map[oleanderline.VMID]time.Time{},
		sizes: map[oleanderline.VMID]int{}, leaseEnds: map[oleanderline.WorkerID]time.Time{},
	}
}

// look finds lost agents, gives their workers to others and invites agents that are missing.
func (p *agentPool) look(now time.Time) {
	since := now.Sub(p.looked)
	if since < poolInterval {
		return
	}
	s := p.session
	if !p.looked.IsZero() && since > lateLook {
		s.roster.Extend(since) // a leader that is late itself says nothing about its agents
	}
	p.looked = now
	for _, id := range s.roster.Lost(now) {
		if l := s.links[id]; l != nil && l.agent != "" {
			p.lose(l.agent, now)
			p.leaseEnds[id] = s.disconnect(id)
		}
	}
	missing := s.planner.WorkerCount() - len(s.links)
	if missing == 0 {
		p.waits = time.Time{}
	} else if p.waits.IsZero() {
		p.waits = now
	}
	p.invite(now)
	if missing > 0 {
		s.connect()
	}
}

func (p *agentPool) lose(vm oleanderline.VMID, now time.Time) {
	if now.Before(p.failed[vm]) {
		return
	}
	p.failed[vm] = now.Add(inviteAgain)
	p.session.metrics.agentsLost.Inc()
	p.session.common.Event(common.EventAgentLost).WithField("vm", vm).Warn("agent is lost or stops")
}

// choose returns the process that is to serve one more worker: an agent, or "" for this process.
func (p *agentPool) choose(now time.Time) (oleanderline.VMID, bool) {
	if p.serves < p.own {
		return "", true
	}
	best, room := oleanderline.VMID(""), 0
	for vm, load := range p.session.roster.Loads() {
		left := p.sizes[vm] - load
		if left > room || (left == room && left > 0 && vm < best) {
			best, room = vm, left
		}
	}
	if room > 0 {
		return best, true
	}
	late := !p.waits.IsZero() && now.Sub(p.waits) >= agentWait
	return "", late && p.serves < overload*p.own
}

// invite asks more processes to be agents while those that serve cannot take all workers.
func (p *agentPool) invite(now time.Time) {
	s := p.session
	wanted := s.planner.WorkerCount() - p.own
	if wanted <= 0 || s.ports.Invite == nil {
		return
	}
	room := 0
	for vm, size := range p.sizes {
		if s.roster.Knows(vm) {
			room += size
		}
	}
	enough := int(math.Ceil((1 + spareAgents) * float64(wanted)))
	if room >= enough {
		return
	}
	for _, candidate := range p.candidates(now) {
		if room >= enough {
			return
		}
		room += candidate.size
		p.sizes[candidate.vm] = candidate.size
		p.inviting[candidate.vm] = struct{}{}
		number := s.roster.Invite(candidate.vm)
		s.duties.Go(func() { s.invite(candidate, number) })
	}
}

type candidate struct {
	vm      oleanderline.VMID
	address string
	size    int
}

// candidates returns the processes that may become agents, those that can serve most first.
func (p *agentPool) candidates(now time.Time) []candidate {
	var list []candidate
	for vm, node := range p.session.replica.Nodes() {
		_, asked := p.inviting[vm]
		if vm == p.session.settings.VM || node.Address == "" || asked || now.Before(p.failed[vm]) || p.session.roster.Knows(vm) {
			continue
		}
		list = append(list, candidate{vm, node.Address, node.ForAgent()})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.size, b.size), cmp.Compare(a.vm, b.vm))
	})
	return list
}

// answered takes in how an invitation ended.
func (p *agentPool) answered(vm oleanderline.VMID, err error, now time.Time) {
	delete(p.inviting, vm)
	if err == nil {
		return
	}
	p.failed[vm] = now.Add(inviteAgain)
	p.session.common.Event(common.EventAgentRefused).WithField("vm", vm).WithError(err).Warn("no agent")
}

// invite sends an invitation. The agent's first pull may come before its answer.
func (s *Session) invite(to candidate, number int64) {
	ctx, cancel := context.WithTimeout(s.ctx, inviteLimit)
	defer cancel()
	err := s.ports.Invite(ctx, to.address, agent.Invitation{
		Term: s.settings.Leader.Term, Number: number, Address: s.settings.Address, Lease: s.settings.Lease, Hold: s.settings.Hold,
	})
	s.post(invited{to.vm, err})
}

// Pull answers an agent.
func (s *Session) Pull(ctx context.Context, request agent.PullRequest) agent.PullReply {
	if s.ended.Load() {
		return agent.PullReply{}
	}
	return s.roster.Pull(ctx, request)
}

// Push takes in the events of an agent.
func (s *Session) Push(request agent.PushRequest) agent.PushReply {
	if s.ended.Load() {
		return agent.PushReply{}
	}
	return s.roster.Push(request)
}
