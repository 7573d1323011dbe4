package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// adviceSpare is how many workers are asked about beyond the tasks that wait, because some answers are no.
	adviceSpare = 4
	// adviceMost bounds one question, which takes time for each worker.
	adviceMost = 30
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 200 * time.Millisecond
)

// Question asks an adviser about workers for a step.
type Question struct {
	Step    oleanderline.TaskKey
	Workers []oleanderline.WorkerID
	// Limit is how long the adviser may take.
	Limit time.Duration
}

// ticket is what an adviser has said about one life of a worker.
type ticket struct {
	life    oleanderline.WorkerLife
	good    bool
	value   string
	expires time.Time
}

// ticketFor returns the ticket of a group for a worker, and whether a start may use it.
func (g *group) ticketFor(w *worker, now time.Time) (string, bool) {
	if !g.job.queue.Advice.Needed() {
		return "", true
	}
	t, known := g.tickets[w.entry.ID]
	return t.value, known && t.good && t.life == w.life && now.Before(t.expires.Add(-ticketMargin))
}

// ask prepares a question about workers that have room for the tasks that wait, unless one is under way.
func (p *Planner) ask(g *group, now time.Time) {
	if p.asking || g.ready == 0 || !g.job.queue.Advice.Needed() {
		return
	}
	var candidates []*worker
	for _, w := range p.workers {
		if t, known := g.tickets[w.entry.ID]; known && t.life == w.life && (!t.good || now.Before(t.expires.Add(-ticketMargin))) {
			continue
		}
		if w.usable(now) && w.suits(g) && w.holds(g) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(-cmp.Compare(a.free().CPU, b.free().CPU), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	q := Question{Step: g.tasks[0].key()}
	for _, w := range candidates[:min(len(candidates), g.ready+adviceSpare, adviceMost)] {
		q.Workers = append(q.Workers, w.entry.ID)
	}
	q.Limit = g.job.queue.Advice.Decision + time.Duration(len(q.Workers))*g.job.queue.Advice.PerWorker
	p.asking = true
	p.questions = append(p.questions, q)
}

// Questions returns the questions prepared since the last call.
func (p *Planner) Questions() []Question {
	questions := p.questions
	p.questions = nil
	return questions
}

// Advised takes in the answer to a question that was asked at asked. A question without an answer may be asked again.
func (p *Planner) Advised(q Question, advice oleanderline.Advice, err error, asked time.Time) {
	p.asking = false
	t := p.task(q.Step)
	if t == nil || err != nil {
		return
	}
	t.group.rankAt = time.Time{}
	if t.group.tickets == nil {
		t.group.tickets = map[oleanderline.WorkerID]ticket{}
	}
	for _, id := range q.Workers {
		if w := p.workers[id]; w != nil {
			value, good := advice.Tickets[id]
			t.group.tickets[id] = ticket{life: w.life, good: good, value: value, expires: asked.Add(advice.Validity)}
		}
	}
}
