package term

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/roster"
)

// workerLink carries the calls to one worker: by this process, or by an agent.
type workerLink interface {
	Order(order plan.Order)
	Ack(acked plan.Acked)
}

var (
	_ workerLink = (*link.Link)(nil)
	_ workerLink = (*roster.Worker)(nil)
)

// linked is a worker with its link.
type linked struct {
	workerLink
	address string
	agent   oleanderline.VMID // "" if this process calls the worker itself
	// end closes the link, and returns when all has lapsed that may be ordered over it.
	end func() time.Time
}

// connect gives a link to every worker that has none, and closes those of workers that are gone.
func (s *Session) connect() {
	s.planner.Workers(func(id oleanderline.WorkerID, address string) {
		l := s.links[id]
		if l != nil && l.address == address {
			return
		}
		var leaseEnd time.Time
		if l != nil {
			leaseEnd = s.disconnect(id)
		}
		s.open(id, address, leaseEnd)
	})
	for id := range s.links {
		if !s.planner.Knows(id) {
			s.disconnect(id)
		}
	}
}

// disconnect closes the link of a worker and returns when all has lapsed that may be ordered over it.
func (s *Session) disconnect(id oleanderline.WorkerID) time.Time {
	l := s.links[id]
	delete(s.links, id)
	if l.agent == "" {
		s.agents.serves--
	}
	return l.end()
}

// open gives a worker a link if a process has room for it. A worker without a link gets one later, as connect is repeated.
func (s *Session) open(id oleanderline.WorkerID, address string, leaseEnd time.Time) {
	now := s.common.Clock.Now()
	leaseEnd = common.Later(leaseEnd, s.agents.leaseEnds[id])
	server, ok := s.agents.choose(now)
	if !ok {
		s.agents.leaseEnds[id] = leaseEnd
		return
	}
	var l *linked
	if server == "" {
		l = s.openLocal(id, address, leaseEnd)
	} else {
		l = s.openRemote(server, id, address, leaseEnd)
	}
	if l == nil {
		s.agents.leaseEnds[id] = leaseEnd
		return
	}
	delete(s.agents.leaseEnds, id)
	s.links[id] = l
	if server == "" {
		s.agents.serves++
	}
}

func (s *Session) openLocal(id oleanderline.WorkerID, address string, leaseEnd time.Time) *linked {
	ctx, cancel := context.WithCancel(s.ctx)
	settings := link.Settings{
		Term: s.settings.Leader.Term, Lease: s.settings.Lease, Wait: s.settings.Hold, Authority: s.Authority,
		LeaseEnd: leaseEnd, Acked: s.planner.Acked(id),
	}
	l := link.New(id, s.ports.Dial(id, address), s.common.Clock, settings, s)
	s.duties.Go(func() { l.Run(ctx) })
	end := func() time.Time {
		cancel()
		now := s.common.Clock.Now()
		return common.Later(s.authorityEnd(now), now).Add(link.LapseAfter(s.settings.Lease))
	}
	return &linked{workerLink: l, address: address, end: end}
}

func (s *Session) openRemote(server oleanderline.VMID, id oleanderline.WorkerID, address string, leaseEnd time.Time) *linked {
	w := s.roster.Serve(server, id, address, leaseEnd, s.planner.Acked(id))
	if w == nil {
		return nil
	}
	return &linked{workerLink: w, address: address, agent: server, end: w.Close}
}
