package term

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	crewInterval = 100 * time.Millisecond
	// lateLook is the time between looks from which on the leader counts as late itself.
	lateLook = 3 * crewInterval
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

// crew decides which process serves which worker. The leader serves as many workers as fit beside its other duties; agents
// serve the others. It answers sites whose strongest VM cannot call all workers.
type crew struct {
	session *Session
	own     int // workers that this process serves within its share
	looked  time.Time
	// waits is since when some worker has had no link; zero if all have.
	waits    time.Time
	inviting map[oleanderline.VMID]struct{}
	failed   map[oleanderline.VMID]time.Time
	sizes    map[oleanderline.VMID]int // how many workers each agent can serve
	// leaseEnds holds, for workers without a link, when all has lapsed that was ordered there in this term.
	leaseEnds map[oleanderline.WorkerID]time.Time
}

func newCrew(s *Session) *crew {
	return &crew{
		session: s, own: s.settings.Limits.ForLeader(),
		inviting: map[oleanderline.VMID]struct{}{}, failed: map[oleanderline.VMID]time.Time{},
		sizes: map[oleanderline.VMID]int{}, leaseEnds: map[oleanderline.WorkerID]time.Time{},
	}
}

// look finds lost agents, gives their workers to others and invites agents that are missing.
func (c *crew) look(now time.Time) {
	since := now.Sub(c.looked)
	if since < crewInterval {
		return
	}
	s := c.session
	if !c.looked.IsZero() && since > lateLook {
		s.roster.Excuse(since) // a leader that is late itself says nothing about its agents
	}
	c.looked = now
	for _, id := range s.roster.Lost(now) {
		if l := s.links[id]; l != nil && l.agent != "" {
			c.lose(l.agent, now)
			c.leaseEnds[id] = s.disconnect(id)
		}
	}
	missing := s.planner.WorkerCount() - len(s.links)
	if missing == 0 {
		c.waits = time.Time{}
	} else if c.waits.IsZero() {
		c.waits = now
	}
	c.invite(now)
	if missing > 0 {
		s.connect()
	}
}

func (c *crew) lose(vm oleanderline.VMID, now time.Time) {
	if now.Before(c.failed[vm]) {
		return
	}
	c.failed[vm] = now.Add(inviteAgain)
	c.session.common.Event(common.EventAgentLost).WithField("vm", vm).Warn("agent is lost or stops")
}

// choose returns the process that is to serve one more worker: an agent, or "" for this process.
func (c *crew) choose(now time.Time) (oleanderline.VMID, bool) {
	own := 0
	for _, l := range c.session.links {
		if l.agent == "" {
			own++
		}
	}
	if own < c.own {
		return "", true
	}
	best, room := oleanderline.VMID(""), 0
	for vm, load := range c.session.roster.Loads() {
		left := c.sizes[vm] - load
		if left > room || (left == room && left > 0 && vm < best) {
			best, room = vm, left
		}
	}
	if room > 0 {
		return best, true
	}
	late := !c.waits.IsZero() && now.Sub(c.waits) >= agentWait
	return "", late && own < overload*c.own
}

// invite asks more processes to be agents while those that serve cannot take all workers.
func (c *crew) invite(now time.Time) {
	s := c.session
	wanted := s.planner.WorkerCount() - c.own
	if wanted <= 0 || s.ports.Invite == nil {
		return
	}
	room := 0
	for vm, size := range c.sizes {
		if s.roster.Knows(vm) {
			room += size
		}
	}
	for _, candidate := range c.candidates(now) {
		if float64(room) >= (1+spareAgents)*float64(wanted) {
			return
		}
		room += candidate.size
		c.sizes[candidate.vm] = candidate.size
		c.inviting[candidate.vm] = struct{}{}
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
func (c *crew) candidates(now time.Time) []candidate {
	var list []candidate
	for vm, node := range c.session.replica.Nodes() {
		_, asked := c.inviting[vm]
		if vm == c.session.settings.VM || node.Address == "" || asked || now.Before(c.failed[vm]) || c.session.roster.Knows(vm) {
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
func (c *crew) answered(vm oleanderline.VMID, err error, now time.Time) {
	delete(c.inviting, vm)
	if err == nil {
		return
	}
	c.failed[vm] = now.Add(inviteAgain)
	c.session.common.Event(common.EventAgentRefused).WithField("vm", vm).WithError(err).Warn("no agent")
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
