package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
)

// Arrive takes in a new request. It is sent, queued or refused at once.
func (c *Core) Arrive(request Request, now time.Time, actions []Action) []Action {
	refusal := Action{Kind: ActionRefuse, Request: request.ID}
	s, ok := c.services[request.Service]
	switch {
	case c.stopping:
		refusal.Reason = ReasonStopping
	case !ok || len(s.minions) == 0:
		refusal.Reason = ReasonNoMinion
	default:
		refusal.Reason = s.ruleRefuses(request, now)
	}
	if refusal.Reason != "" {
		return append(actions, refusal)
	}
	r := c.newRequest(request)
	r.service = s
	r.class = s.classes.Get(className(request))
	r.Item = admit.Item{
		ID:       uint64(request.ID),
		Priority: request.Priority,
		Long:     request.Long || (request.Class == "" && s.classes.Long(r.class)),
		Arrived:  now,
		Deadline: request.Deadline,
		Expected: s.classes.Expected(r.class),
	}
	c.requests[request.ID] = r
	s.retries.Request()
	s.hedges.Request()
	return c.enqueue(r, now, actions)
}

func className(r Request) string {
	if r.Class != "" {
		return r.Class
	}
	// The prefix keeps a group apart from a class of the same name.
	if r.Group == "" {
		return ""
	}
	return "/" + r.Group
}

// enqueue lets a request wait if that can succeed, and serves the queue.
func (c *Core) enqueue(r *request, now time.Time, actions []Action) []Action {
	s := r.service
	switch s.gate.Admit(&r.Item, s.room(), now) {
	case admit.VerdictFull:
		return c.refuse(r, ReasonQueueFull, actions)
	case admit.VerdictLate:
		return c.refuse(r, ReasonDeadline, actions)
	default:
		s.gate.Push(&r.Item)
		return s.serve(now, actions)
	}
}

// refuse answers a request that did not run and forgets it.
func (c *Core) refuse(r *request, reason Reason, actions []Action) []Action {
	s := r.service
	after := s.gate.Wait(&r.Item, s.room())
	id := r.Request.ID
	c.forget(r)
	return append(actions, Action{Kind: ActionRefuse, Request: id, Reason: reason, RetryAfter: after})
}

// Done takes in the end of an exchange.
func (c *Core) Done(finish Finish, now time.Time, actions []Action) []Action {
	r, ok := c.requests[finish.Request]
	if !ok {
		return actions
	}
	m := c.minions[finish.Minion]
	f := r.flightAt(m)
	if f == nil {
		return actions
	}
	s := r.service
	m.slots.Release(f.slot, now)
	m.candidate.Load--
	s.running[lane(r)]--
	*f = flight{}
	r.active--
	s.learn(r, m, finish, now)
	switch {
	case r.active > 0:
	case finish.Result == oleanderline.ResultNotRun:
		r.parked = now
		r.avoid = m.candidate.Owner + 1
	default:
		c.forget(r)
	}
	c.removeIdle(m)
	if !m.removed {
		s.update(m, now)
	}
	return s.serve(now, actions)
}

// learn records what the end of an exchange tells about the class and the minion.
func (s *service) learn(r *request, m *minion, finish Finish, now time.Time) {
	ratio := 0.0
	if finish.Result == oleanderline.ResultAnswered && !finish.Failed {
		ratio, _ = s.classes.Ratio(r.class, finish.Latency)
		s.classes.Observe(r.class, finish.Latency)
		m.limit.Observe(ratio, finish.Latency, m.candidate.Load+1, now)
	}
	if s.ejector.Observe(&m.health, finish.Failed, ratio, now) {
		s.refresh(now)
	}
	m.candidate.Score = m.health.Score()
}

// Cancel forgets a request whose caller has gone, if it waits. The end of an exchange is still to be reported by Done.
func (c *Core) Cancel(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || r.active > 0 {
		return actions
	}
	if r.Queued() {
		r.service.gate.Remove(&r.Item)
	}
	c.forget(r)
	return r.service.serve(now, actions)
}

// Retry sends a request again that has ended with ResultNotRun, or refuses it if the retry budget is used up.
func (c *Core) Retry(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || r.parked.IsZero() {
		return actions
	}
	r.parked = time.Time{}
	if !r.service.retries.Take() {
		return c.refuse(r, ReasonBudget, actions)
	}
	return c.enqueue(r, now, actions)
}

// HedgeAfter returns how long after its ActionSend a request is worth a call of Hedge, because most of its class have been
// answered by then. Zero means never: the request may not be hedged, or its class is not learned yet.
func (c *Core) HedgeAfter(id RequestID) time.Duration {
	r, ok := c.requests[id]
	if !ok || !r.Idempotent {
		return 0
	}
	return r.service.classes.Straggles(r.class)
}

// Hedge sends a second copy of an idempotent request in flight to another minion, if the hedge budget and a free slot
// allow it and no request waits.
func (c *Core) Hedge(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || !r.Idempotent || r.active != 1 || r.service.gate.Len() > 0 {
		return actions
	}
	s := r.service
	first := r.flights[0].minion
	if first == nil {
		first = r.flights[1].minion
	}
	candidate := s.picker.Pick(first.candidate.Owner)
	if candidate == nil || !s.hedges.Take() {
		return actions
	}
	m := s.minions[candidate.Owner]
	slot, ok := m.slots.Take(now)
	if !ok {
		s.update(m, now)
		return actions
	}
	return s.send(r, m, slot, true, now, actions)
}
