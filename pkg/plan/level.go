package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// ServiceLevel is the service level of a queue over a period.
type ServiceLevel struct {
	InTime int // jobs completed within their objective
	Late   int // jobs completed within lateFactor times their objective
	Missed int // jobs completed later, or failed
	// Served is the time for which long-running tasks served within their target, Asked the time for which they should have
	// served. Both are sums over all tasks.
	Served, Asked time.Duration
}

// ServiceLevels returns the service levels of the queues since the last call, or nil if there are none.
func (p *Planner) ServiceLevels() map[oleanderline.QueueID]*ServiceLevel {
	if len(p.levels) == 0 {
		return nil
	}
	levels := p.levels
	p.levels = map[oleanderline.QueueID]*ServiceLevel{}
	return levels
}

func (p *Planner) level(queue oleanderline.QueueID) *ServiceLevel {
	l := p.levels[queue]
	if l == nil {
		l = &ServiceLevel{}
		p.levels[queue] = l
	}
	return l
}

// countJob counts a job that has ended in the service level of its queue. It does not count cancelled jobs, nor those with
// due times.
func (p *Planner) countJob(j *job) {
	took, objective := p.now.Sub(j.arrived), j.objective()
	l := p.level(j.spec.Queue)
	switch {
	case j.progress.State == oleanderline.JobCancelled || j.spec.HasDueTimes():
	case j.progress.State == oleanderline.JobCompleted && took <= objective:
		l.InTime++
	case j.progress.State == oleanderline.JobCompleted && took <= lateFactor*objective:
		l.Late++
	default:
		l.Missed++
	}
}

// countLongRunning adds the time since the last check to the service levels, for each long-running task.
func (p *Planner) countLongRunning(since time.Duration) {
	for _, w := range p.workers {
		for t := range w.tasks {
			if !t.group.step.LongRunning || t.done || !t.group.job.active() {
				continue
			}
			l := p.level(t.group.job.spec.Queue)
			l.Asked += since
			if t.meetsTarget() {
				l.Served += since
			}
		}
	}
	for g := range p.ready {
		if g.step.LongRunning {
			p.level(g.job.spec.Queue).Asked += time.Duration(g.readyCount) * since
		}
	}
}

// meetsTarget reports whether a long-running task serves within its tail latency target, by the newest report of its worker.
func (t *task) meetsTarget() bool {
	return t.isServing() && !t.worker.unreachable && t.targetRatio() <= 1
}
