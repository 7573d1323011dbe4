package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// Delays and timeouts of an agent.
const (
	retryDelay = 50 * time.Millisecond
	// pushDelay is the pause between batches of events, so that one batch carries the events of many workers.
	pushDelay = 15 * time.Millisecond
	// leaderTimeout is how long an agent continues to pull without an answer from its leader.
	leaderTimeout = 5 * time.Second
)

// session serves one leader under one invitation.
type session struct {
	agent      *Agent
	invitation Invitation
	ctx        context.Context
	cancel     context.CancelCauseFunc // the cause is logged
	wg         sync.WaitGroup
	leaving    atomic.Bool
	outbox     *outbox
	starts     atomic.Int64 // starts with a result
	fenced     atomic.Int64 // workers that have seen a newer term

	links    map[oleanderline.WorkerID]*runningLink // used only by the goroutine of pull
	payloads map[oleanderline.JobID]string          // likewise
	lastItem int64                                  // likewise

	mu           sync.Mutex
	authorityEnd time.Time // until when orders may be sent
	// leaderNow is a time of the leader's clock that had passed at localNow on this process's clock.
	leaderNow, localNow time.Time
}

type runningLink struct {
	*link.Link
	cancel context.CancelFunc
}

func newSession(a *Agent, invitation Invitation) *session {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &session{
		agent: a, invitation: invitation, ctx: ctx, cancel: cancel, outbox: newOutbox(),
		links: map[oleanderline.WorkerID]*runningLink{}, payloads: map[oleanderline.JobID]string{},
	}
}

// Causes of the end of a session.
var (
	errNewerInvitation   = errors.New("a newer invitation was accepted")
	errUnknownInvitation = errors.New("the leader does not know the invitation")
	errNoAnswer          = errors.New("the leader does not answer")
	errStopped           = errors.New("this process is stopping")
)

func (s *session) run() {
	s.wg.Go(s.push)
	s.cancel(s.pull())
	endedAt := s.now()
	s.wg.Wait()
	s.logEnd(endedAt)
}

// logEnd logs that the last call of the session, which ended at endedAt, has returned.
func (s *session) logEnd(endedAt time.Time) {
	s.mu.Lock()
	authorityLeft := s.authorityEnd.Sub(endedAt)
	s.mu.Unlock()
	s.agent.common.Event(common.EventAgentEnds).WithFields(logrus.Fields{
		"term": s.invitation.Term, "leader": s.invitation.Address, "reason": context.Cause(s.ctx).Error(), "workers": len(s.links),
		"starts": s.starts.Load(), "fenced": s.fenced.Load(), "authority": authorityLeft.Seconds(), "waited": s.now().Sub(endedAt).Seconds(),
	}).Info("stopped serving workers for a leader")
}

// pull requests items from the leader and applies them, until the leader does not know the invitation any more or has not
// answered for leaderTimeout. It returns why it has ended.
func (s *session) pull() error {
	lastReply := s.now()
	for s.ctx.Err() == nil {
		sent := s.now()
		reply, err := s.agent.leader.Pull(s.ctx, s.invitation.Address, PullRequest{
			Agent: s.agent.vm, Term: s.invitation.Term, Invitation: s.invitation.Number, Got: s.lastItem, Leaving: s.leaving.Load(),
		})
		now := s.now()
		switch {
		case s.ctx.Err() != nil:
			return errStopped
		case err != nil && now.Sub(lastReply) > leaderTimeout:
			return errNoAnswer
		case err == nil && !reply.Known:
			return errUnknownInvitation
		case err != nil:
			s.sleep(retryDelay)
			continue
		}
		lastReply = now
		s.updateAuthority(reply, sent, now)
		for _, item := range reply.Items {
			if item.Number > s.lastItem {
				s.lastItem = item.Number
				s.apply(item, reply.Now, sent)
			}
		}
	}
	return errStopped
}

// updateAuthority applies the authority granted by a reply. It counts from when the request was sent, which is earlier than when
// the leader replied, so that it never lasts longer than the leader's own.
func (s *session) updateAuthority(reply PullReply, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.authorityEnd = sent.Add(reply.Authority)
	s.leaderNow, s.localNow = reply.Now, now
}

// authority reports whether orders may be sent at a given time.
func (s *session) authority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.authorityEnd)
}

// leaderTime converts a time t of this process's clock to the leader's clock. The result is never later than the true time.
func (s *session) leaderTime(t time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderNow.Add(t.Sub(s.localNow))
}

// apply executes an item of a reply. leaderNow is the leader's clock at the reply, sent is when the pull was sent.
func (s *session) apply(item Item, leaderNow, sent time.Time) {
	l := s.links[item.Worker]
	switch item.Kind {
	case ItemAssign:
		if l != nil {
			l.cancel()
		}
		s.links[item.Worker] = s.openLink(item)
	case ItemUnassign:
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
	case ItemClearPayloads:
		clear(s.payloads)
	}
}

// withPayload returns a start with the payload of its job, which it caches when an order carries it.
func (s *session) withPayload(order plan.Order) plan.Order {
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

func (s *session) openLink(item Item) *runningLink {
	ctx, cancel := context.WithCancel(s.ctx)
	settings := link.Settings{
		Term: s.invitation.Term, Lease: s.invitation.Lease, MaxLease: s.invitation.MaxLease, RenewWait: s.invitation.Hold,
		Authority: s.authority, Acked: item.Acked, InService: s.agent.inService,
	}
	if item.LeaseLeft > 0 {
		settings.LeaseEnd = s.now().Add(item.LeaseLeft)
	}
	events := &reporter{session: s, assignment: item.Serves}
	l := &runningLink{
		Link:   link.New(item.Worker, s.agent.dial(item.Worker, item.Address), s.agent.common.Clock, settings, events),
		cancel: cancel,
	}
	s.wg.Go(func() { l.Run(ctx) })
	return l
}

// push sends events to the leader one batch at a time, and sends each batch again until it is answered.
func (s *session) push() {
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
				s.cancel(errUnknownInvitation)
				return
			}
			if err == nil {
				break
			}
			s.sleep(retryDelay)
		}
		s.sleep(pushDelay)
	}
}

func (s *session) now() time.Time { return s.agent.common.Clock.Now() }

func (s *session) sleep(d time.Duration) { common.Sleep(s.ctx, s.agent.common.Clock, d) }
