package plan

import "time"

// next returns the task of the group to place next, or nil if there is none. The task stays ready.
func (g *group) next() *task {
	if !g.breaker.Open() {
		return g.nextReady()
	}
	if t := g.nextProbe(); t != nil {
		return t
	}
	g.obstacle = obstacleFailures
	return nil
}

// nextProbe returns the ready task that has failed most often, or nil if the group has enough probes. So a job that can never be done
// fails after the fewest runs. Tasks on their first run are no probes, because they were started before the breaker opened, and neither
// are those on unreachable workers, which may not end.
func (g *group) nextProbe() *task {
	var probe *task
	running := 0
	for i := range g.tasks {
		t := &g.tasks[i]
		switch {
		case t.worker != nil && !t.worker.unreachable && t.failures > 0:
			running++
		case t.state == taskReady && i >= g.nextIndex && (probe == nil || t.failures > probe.failures):
			probe = t
		}
	}
	if !g.breaker.AllowsProbe(running) {
		return nil
	}
	return probe
}

// postponeHeld keeps a group whose tasks are held back by its breaker out of the order for the usual delay, so that it takes no turn of
// another one.
func (p *Planner) postponeHeld(g *group, now time.Time) {
	if g.readyCount > 0 && g.breaker.Open() {
		g.retryAt = now.Add(p.rerankDelay())
	}
}

// recordFailure records a failed run in the health of its worker and the breaker of its step. While all runs of a step fail, its failures
// say nothing about the workers. Long-running tasks may fail at any time, and the tasks of a gang run only together, so neither has probes.
func (p *Planner) recordFailure(t *task, w *worker, now time.Time) {
	g := t.group
	if g.step.LongRunning || g.step.Gang {
		w.health.record(!g.step.LongRunning, now)
		return
	}
	wasOpen := g.breaker.Open()
	g.breaker.Failed(w.entry.ID)
	if !g.breaker.Open() {
		w.health.record(true, now)
		return
	}
	if !wasOpen {
		p.noteBreaker(t, NoteBreakerOpen, "every run of the step has failed, its tasks run a few at a time")
	}
}

// recordSuccess records a run that has completed its task in the health of its worker and the breaker of its step.
func (p *Planner) recordSuccess(t *task, w *worker, now time.Time) {
	w.health.record(false, now)
	if t.group.breaker.Open() {
		p.noteBreaker(t, NoteBreakerShut, "a run has completed its task, the tasks of the step run as usual again")
	}
	t.group.breaker.Succeeded()
}

func (p *Planner) noteBreaker(t *task, kind NoteKind, reason string) {
	p.notes = append(p.notes, Note{Kind: kind, Run: t.runKey(), Reason: reason})
}
