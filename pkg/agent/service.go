package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// Timing of an agent.
const (
	retryPause = 50 * time.Millisecond
	// pushPause spaces batches of events, so that one carries those of many workers.
	pushPause = 15 * time.Millisecond
	// leaderLost is how long an agent without any answer of its leader goes on asking.
	leaderLost = 5 * time.Second
)

// service is what an agent does for one leader in one term.
type service struct {
	agent      *Agent
	invitation Invitation
	ctx        context.Context
	cancel     context.CancelFunc
	duties     sync.WaitGroup
	leaving    atomic.Bool
	outbox     *outbox

	links    map[oleanderline.WorkerID]*served // used only by the loop that pulls
	payloads map[oleanderline.JobID]string     // likewise
	got      int64                             // likewise

	mu    sync.Mutex
	until time.Time // when the permission to give orders ends
	// leaderNow is a time of the leader's clock that had come at here.
	leaderNow, here time.Time
}

type served struct {
	*link.Link
	cancel context.CancelFunc
}

func newService(a *Agent, invitation Invitation) *service {
	ctx, cancel := context.WithCancel(context.Background())
	return &service{
		agent: a, invitation: invitation, ctx: ctx, cancel: cancel, outbox: newOutbox(),
		links: map[oleanderline.WorkerID]*served{}, payloads: map[oleanderline.JobID]string{},
	}
}

func (s *service) run() {
	s.duties.Go(s.push)
	s.pull()
	s.cancel()
	s.duties.Wait()
	s.agent.common.Event(common.EventAgentEnds).WithField("term", s.invitation.Term).Info("serving no workers for this leader any more")
}

// pull asks the leader for items until it has another agent in this one's place, or is lost.
func (s *service) pull() {
	heard := s.now()
	for s.ctx.Err() == nil {
		sent := s.now()
		reply, err := s.agent.leader.Pull(s.ctx, s.invitation.Address, PullRequest{
			Agent: s.agent.vm, Term: s.invitation.Term, Invitation: s.invitation.Number, Got: s.got, Leaving: s.leaving.Load(),
		})
		now := s.now()
		switch {
		case s.ctx.Err() != nil:
			return
		case err != nil && now.Sub(heard) > leaderLost, err == nil && !reply.Known:
			return
		case err != nil:
			s.sleep(retryPause)
			continue
		}
		heard = now
		s.permit(reply, sent, now)
		for _, item := range reply.Items {
			if item.Number > s.got {
				s.got = item.Number
				s.carryOut(item, reply.Now, sent)
			}
		}
	}
}

// permit takes over the permission of a reply. It runs from when the request was sent, which is earlier than when the leader
// replied, so that it never lasts longer than the leader's own.
func (s *service) permit(reply PullReply, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = sent.Add(reply.Authority)
	s.leaderNow, s.here = reply.Now, now
}

// authority reports whether orders may be given.
func (s *service) authority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}

// byLeader returns a time of the leader's clock that had come at t, a time of this process's clock.
func (s *service) byLeader(t time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderNow.Add(t.Sub(s.here))
}

func (s *service) carryOut(item Item, leaderNow, sent time.Time) {
	l := s.links[item.Worker]
	switch item.Kind {
	case ItemServe:
		if l != nil {
			l.cancel()
		}
		s.links[item.Worker] = s.serve(item)
	case ItemLeave:
		if l != nil {
			l.cancel()
			delete(s.links, item.Worker)
		}
	case ItemOrder:
		if order := s.withPayload(item.Order); l != nil {
			l.OrderAt(order, sent.Add(item.At.Sub(leaderNow)))
		}
	case ItemAck:
		if l != nil {
			l.Ack(item.Acked)
		}
	case ItemForget:
		clear(s.payloads)
	}
}

func (s *service) withPayload(order plan.Order) plan.Order {
	if order.Kind != plan.OrderStart {
		return order
	}
	job := order.Key.Task.Job
	if order.Payload != "" {
		s.payloads[job] = order.Payload
	}
	order.Payload = s.payloads[job]
	return order
}

func (s *service) serve(item Item) *served {
	ctx, cancel := context.WithCancel(s.ctx)
	settings := link.Settings{
		Term: s.invitation.Term, Lease: s.invitation.Lease, HoldWait: s.invitation.Hold, Authority: s.authority,
		Acked: item.Acked,
	}
	if item.LeaseLeft > 0 {
		settings.LeaseEnd = s.now().Add(item.LeaseLeft)
	}
	events := &reporter{service: s, serves: item.Serves}
	l := &served{
		Link:   link.New(item.Worker, s.agent.dial(item.Worker, item.Address), s.agent.common.Clock, settings, events),
		cancel: cancel,
	}
	s.duties.Go(func() { l.Run(ctx) })
	return l
}

// push sends events to the leader, one batch at a time, each until it is answered.
func (s *service) push() {
	for number := int64(1); ; number++ {
		events := s.outbox.take(s.ctx)
		if s.ctx.Err() != nil {
			return
		}
		request := PushRequest{
			Agent: s.agent.vm, Term: s.invitation.Term, Invitation: s.invitation.Number, Number: number, Events: events,
		}
		for {
			reply, err := s.agent.leader.Push(s.ctx, s.invitation.Address, request)
			if s.ctx.Err() != nil {
				return
			}
			if err == nil && !reply.Known {
				s.cancel()
				return
			}
			if err == nil {
				break
			}
			s.sleep(retryPause)
		}
		s.sleep(pushPause)
	}
}

func (s *service) now() time.Time { return s.agent.common.Clock.Now() }

func (s *service) sleep(d time.Duration) { common.Sleep(s.ctx, s.agent.common.Clock, d) }
