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

// workerLink sends the calls to one worker, either from this process or through an agent.
type workerLink interface {
	Order(order plan.Order)
	Ack(acked plan.Acked)
}

var (
	_ workerLink = (*link.Link)(nil)
	_ workerLink = (*roster.Worker)(nil)
)

// connection is the link to one worker and the process that serves it.
type connection struct {
	workerLink
	address string
	agent   oleanderline.VMID // "" if this process calls the worker itself
	// closeLink closes the link, and returns the latest expiry of leases that may be granted over it or were granted before.
	closeLink func() time.Time
}

// connectWorkers opens a link to every worker that has none, reopens those whose address has changed, and closes the links of
// workers that were removed.
func (s *Session) connectWorkers() {
	s.planner.EachWorker(func(id oleanderline.WorkerID, address string) {
		l := s.links[id]
		if l != nil && l.address == address {
			return
		}
		var leaseEnd time.Time
		if l != nil {
			leaseEnd = s.disconnect(id)
		}
		s.openLink(id, address, leaseEnd)
	})
	for id := range s.links {
		if !s.planner.HasWorker(id) {
			s.disconnect(id)
		}
	}
}

// disconnect closes the link of a worker, and returns the latest expiry of leases that may be granted over it or were granted before.
func (s *Session) disconnect(id oleanderline.WorkerID) time.Time {
	l := s.links[id]
	delete(s.links, id)
	s.planner.SetServed(id, false)
	if l.agent == "" {
		s.agents.ownWorkers--
	}
	return l.closeLink()
}

// openLink opens a link to a worker if a process has capacity for it. Otherwise a later call of connectWorkers tries again.
func (s *Session) openLink(id oleanderline.WorkerID, address string, leaseEnd time.Time) {
	now := s.common.Clock.Now()
	leaseEnd = common.Later(leaseEnd, s.agents.leaseEnds[id])
	server, ok := s.agents.chooseServer(now)
	if !ok {
		s.agents.leaseEnds[id] = leaseEnd
		return
	}
	var l *connection
	if server == "" {
		l = s.openLocalLink(id, address, leaseEnd)
	} else {
		l = s.openRemoteLink(server, id, address, leaseEnd)
	}
	if l == nil {
		s.agents.leaseEnds[id] = leaseEnd
		return
	}
	delete(s.agents.leaseEnds, id)
	s.links[id] = l
	s.planner.SetServed(id, true)
	if server == "" {
		s.agents.ownWorkers++
	}
}

func (s *Session) openLocalLink(id oleanderline.WorkerID, address string, leaseEnd time.Time) *connection {
	ctx, cancel := context.WithCancel(s.ctx)
	settings := link.Settings{
		Term: s.settings.Leader.Term, Lease: s.settings.Lease, MaxLease: s.settings.MaxLease, RenewWait: s.settings.RenewWait,
		Authority: s.Authority, LeaseEnd: leaseEnd, Acked: s.planner.Acked(id),
		InService: s.inService,
	}
	l := link.New(id, s.ports.Dial(id, address), s.common.Clock, settings, s)
	s.wg.Go(func() { l.Run(ctx) })
	closeLink := func() time.Time {
		cancel()
		now := s.common.Clock.Now()
		grantedEnd := common.Later(s.authorityEnd(now), now).Add(link.ExpiryBound(s.settings.Lease))
		return common.Later(l.LeaseEnd(), grantedEnd)
	}
	return &connection{workerLink: l, address: address, closeLink: closeLink}
}

func (s *Session) openRemoteLink(server oleanderline.VMID, id oleanderline.WorkerID, address string, leaseEnd time.Time) *connection {
	w := s.roster.Assign(server, id, address, leaseEnd, s.planner.Acked(id))
	if w == nil {
		return nil
	}
	return &connection{workerLink: w, address: address, agent: server, closeLink: w.Close}
}
