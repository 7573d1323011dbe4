package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
)

// Arrive sends, queues or refuses a new request.
func (c *Core) Arrive(request Request, now time.Time, actions []Action) []Action {
	refusal := Action{Kind: ActionRefuse, Request: request.ID}
	s, ok := c.services[request.Service]
	switch {
	case c.stopping:
		refusal.Reason = ReasonStopping
	case !ok || len(s.minions) == 0:
		refusal.Reason = ReasonNoMinion
	default:
		refusal.Reason = s.ruleRefusal(request, now)
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
	s.retries.RecordRequest()
	s.hedges.RecordRequest()
	return c.enqueue(r, now, actions)
}

// className returns the name under which the run times of a request are recorded.
func className(request Request) string {
	if request.Class != "" {
		return request.Class
	}
	// The prefix distinguishes a group from a class of the same name.
	if request.Group == "" {
		return ""
	}
	return "/" + request.Group
}

// enqueue queues a request if it can still be answered in time, and dispatches the queue.
func (c *Core) enqueue(r *request, now time.Time, actions []Action) []Action {
	s := r.service
	switch s.queue.Admit(&r.Item, s.slotUsage(), now) {
	case admit.VerdictFull:
		return c.refuse(r, ReasonQueueFull, actions)
	case admit.VerdictLate:
		return c.refuse(r, ReasonDeadline, actions)
	default:
		s.queue.Push(&r.Item)
		return s.dispatchQueued(now, actions)
	}
}

// refuse refuses a request that did not run and stops tracking it.
func (c *Core) refuse(r *request, reason Reason, actions []Action) []Action {
	s := r.service
	retryAfter := s.queue.EstimateWait(&r.Item, s.slotUsage())
	id := r.Request.ID
	c.removeRequest(r)
	return append(actions, Action{Kind: ActionRefuse, Request: id, Reason: reason, RetryAfter: retryAfter})
}

// Done processes the end of an exchange.
func (c *Core) Done(completion Completion, now time.Time, actions []Action) []Action {
	r, ok := c.requests[completion.Request]
	if !ok {
		return actions
	}
	m := c.minions[completion.Minion]
	e := r.exchangeOn(m)
	if e == nil {
		return actions
	}
	s := r.service
	m.slots.Release(e.slot, now)
	m.candidate.Load--
	s.running[laneIndex(r)]--
	*e = exchange{}
	r.inFlight--
	s.recordOutcome(r, m, completion, now)
	switch {
	case r.inFlight > 0:
	case completion.Result == oleanderline.ResultNotRun:
		r.notRunAt = now
		r.refusedBy = m.candidate.MinionIndex + 1
	default:
		c.removeRequest(r)
	}
	c.removeIfIdle(m)
	if !m.removed {
		s.updateAvailability(m, now)
	}
	return s.dispatchQueued(now, actions)
}

// recordOutcome updates the run times of the class, the concurrency limit and the health of the minion.
func (s *service) recordOutcome(r *request, m *minion, completion Completion, now time.Time) {
	logRatio := 0.0
	if completion.Result == oleanderline.ResultAnswered && !completion.Failed {
		logRatio, _ = s.classes.LogRatio(r.class, completion.Latency)
		s.classes.Observe(r.class, completion.Latency)
		m.limit.Observe(logRatio, completion.Latency, m.candidate.Load+1, now)
	}
	if s.ejector.Observe(&m.health, completion.Failed, logRatio, now) {
		s.refresh(now)
	}
	m.candidate.Score = m.health.Score()
}

// Cancel drops a queued request whose caller has disconnected. The end of an exchange must still be reported to Done.
func (c *Core) Cancel(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || r.inFlight > 0 {
		return actions
	}
	if r.Queued() {
		r.service.queue.Remove(&r.Item)
	}
	c.removeRequest(r)
	return r.service.dispatchQueued(now, actions)
}

// Retry queues a request again after ResultNotRun, or refuses it if the retry budget is used up.
func (c *Core) Retry(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || r.notRunAt.IsZero() {
		return actions
	}
	r.notRunAt = time.Time{}
	if !r.service.retries.Take() {
		return c.refuse(r, ReasonBudget, actions)
	}
	return c.enqueue(r, now, actions)
}

// HedgeAfter returns the delay from the ActionSend of a request to the call of Hedge; most requests of its class are
// answered within this delay. Zero means never: the request is not idempotent, or its class has too few samples.
func (c *Core) HedgeAfter(id RequestID) time.Duration {
	r, ok := c.requests[id]
	if !ok || !r.Idempotent {
		return 0
	}
	return r.service.classes.StragglerThreshold(r.class)
}

// Hedge sends a second copy of an idempotent request in flight to another minion, unless the hedge budget is used up, no
// slot is free or requests are queued.
func (c *Core) Hedge(id RequestID, now time.Time, actions []Action) []Action {
	r, ok := c.requests[id]
	if !ok || !r.Idempotent || r.inFlight != 1 || r.service.queue.Len() > 0 {
		return actions
	}
	s := r.service
	first := r.exchanges[0].minion
	if first == nil {
		first = r.exchanges[1].minion
	}
	candidate := s.picker.Pick(first.candidate.MinionIndex)
	if candidate == nil || !s.hedges.Take() {
		return actions
	}
	m := s.minions[candidate.MinionIndex]
	slot, ok := m.slots.Take(now)
	if !ok {
		s.updateAvailability(m, now)
		return actions
	}
	return s.send(r, m, slot, true, now, actions)
}
