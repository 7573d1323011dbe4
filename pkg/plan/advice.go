package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// extraAdviceWorkers is the number of workers in a request beyond the number of ready tasks, because the adviser
	// rejects some.
	extraAdviceWorkers = 4
	// maxAdviceWorkers is the maximum number of workers in one request: the adviser takes time for each worker.
	maxAdviceWorkers = 30
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 200 * time.Millisecond
)

// AdviceRequest asks the queue's adviser which of some workers may run a step.
type AdviceRequest struct {
	Step    oleanderline.TaskKey
	Workers []oleanderline.WorkerID
	// Limit is the timeout of the call to the adviser.
	Limit time.Duration
}

// ticket is the adviser's answer about one incarnation of a worker.
type ticket struct {
	incarnation oleanderline.WorkerIncarnation
	accepted    bool // the worker may run the step
	value       string
	expires     time.Time
}

// ticketFor returns the ticket of a group for a worker, and whether a task may start there: with a valid ticket, or because
// the queue has no adviser.
func (g *group) ticketFor(w *worker, now time.Time) (string, bool) {
	if !g.job.queue.Advice.Needed() {
		return "", true
	}
	t, known := g.tickets[w.entry.ID]
	return t.value, known && t.accepted && t.incarnation == w.incarnation && now.Before(t.expires.Add(-ticketExpiryMargin))
}

// prepareAdviceRequest prepares a request to the adviser about workers that have room for the ready tasks, unless a request is
// pending.
func (p *Planner) prepareAdviceRequest(g *group, now time.Time) {
	if p.advicePending || g.readyCount == 0 || !g.job.queue.Advice.Needed() {
		return
	}
	var candidates []*worker
	for _, w := range p.workers {
		if t, known := g.tickets[w.entry.ID]; known && t.incarnation == w.incarnation && (!t.accepted || now.Before(t.expires.Add(-ticketExpiryMargin))) {
			continue
		}
		if w.schedulable(now) && w.matches(g) && w.hasRoom(g) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(a.free().CPU, b.free().CPU), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	request := AdviceRequest{Step: g.tasks[0].key()}
	for _, w := range candidates[:min(len(candidates), g.readyCount+extraAdviceWorkers, maxAdviceWorkers)] {
		request.Workers = append(request.Workers, w.entry.ID)
	}
	request.Limit = g.job.queue.Advice.Decision + time.Duration(len(request.Workers))*g.job.queue.Advice.PerWorker
	p.advicePending = true
	p.adviceRequests = append(p.adviceRequests, request)
}

// AdviceRequests returns the requests prepared since the last call.
func (p *Planner) AdviceRequests() []AdviceRequest {
	requests := p.adviceRequests
	p.adviceRequests = nil
	return requests
}

// HandleAdvice records the answer to a request that was sent at asked. A failed request may be repeated.
func (p *Planner) HandleAdvice(request AdviceRequest, advice oleanderline.Advice, err error, asked time.Time) {
	p.advicePending = false
	t := p.task(request.Step)
	if t == nil || err != nil {
		return
	}
	t.group.retryAt = time.Time{}
	if t.group.tickets == nil {
		t.group.tickets = map[oleanderline.WorkerID]ticket{}
	}
	for _, id := range request.Workers {
		if w := p.workers[id]; w != nil {
			value, accepted := advice.Tickets[id]
			t.group.tickets[id] = ticket{incarnation: w.incarnation, accepted: accepted, value: value, expires: asked.Add(advice.Validity)}
		}
	}
}
