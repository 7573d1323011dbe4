package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Level is how a queue was served over some time.
type Level struct {
	InTime int // jobs completed within their objective
	Late   int // jobs completed within lateFactor times their objective
	Missed int // jobs completed later, or failed
	// Served is how long lasting tasks were at work within their target, Asked how long they should have been, both summed
	// over all tasks.
	Served, Asked time.Duration
}

// Levels returns how the queues were served since the last call.
func (p *Planner) Levels() map[oleanderline.QueueID]*Level {
	if len(p.levels) == 0 {
		return nil
	}
	levels := p.levels
	p.levels = map[oleanderline.QueueID]*Level{}
	return levels
}

func (p *Planner) level(queue oleanderline.QueueID) *Level {
	l := p.levels[queue]
	if l == nil {
		l = &Level{}
		p.levels[queue] = l
	}
	return l
}

// countJob counts a job that has ended.
func (p *Planner) countJob(j *job) {
	took, objective := p.now.Sub(j.arrived), j.objective()
	l := p.level(j.spec.Queue)
	switch {
	case j.progress.State == oleanderline.JobCancelled || j.spec.Timed():
	case j.progress.State == oleanderline.JobCompleted && took <= objective:
		l.InTime++
	case j.progress.State == oleanderline.JobCompleted && took <= lateFactor*objective:
		l.Late++
	default:
		l.Missed++
	}
}

// countLasting counts the time since the last look for all lasting tasks.
func (p *Planner) countLasting(since time.Duration) {
	for _, w := range p.workers {
		for t := range w.tasks {
			if !t.group.step.Lasting || t.done || !t.group.job.active() {
				continue
			}
			l := p.level(t.group.job.spec.Queue)
			l.Asked += since
			if t.serves() {
				l.Served += since
			}
		}
	}
	for g := range p.open {
		if g.step.Lasting {
			p.level(g.job.spec.Queue).Asked += time.Duration(g.ready) * since
		}
	}
}

// serves reports whether a lasting task is at work within its target, as far as is known.
func (t *task) serves() bool {
	return t.atWork() && !t.worker.silent && t.ratio() <= 1
}
