package plan

import (
	"iter"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/ramp"
)

// domainCheckInterval is the interval of the checks of which tasks wait for a failure domain that is out of service.
const domainCheckInterval = time.Second

// domains is what the planner knows about failure domains that are out of service, or have been.
type domains struct {
	view      *evacuation.View // nil if nothing is known, which counts as all in service
	checkedAt time.Time
	waiting   map[*group]struct{}                // steps that wait for such a domain, and are noted
	unknown   map[oleanderline.DomainID]struct{} // domains without a worker that are noted
}

// SetEvacuations sets which failure domains are out of service: nothing starts there, and what runs there goes on.
func (p *Planner) SetEvacuations(view *evacuation.View, now time.Time) {
	if view == p.domains.view {
		return
	}
	p.domains.view = view
	for _, w := range p.workers {
		p.updateDomain(w, now)
	}
}

// updateDomain updates whether the failure domain of a worker is in service. A worker of a domain that has returned begins with a part of
// its room.
func (p *Planner) updateDomain(w *worker, now time.Time) {
	view := p.domains.view
	if view == nil {
		return
	}
	w.outOfService = !view.InService(w.entry.Domain)
	returnedAt := view.ReturnedAt(w.entry.Domain)
	switch {
	case w.outOfService:
		w.ramp = nil
	case !returnedAt.IsZero() && returnedAt != w.returnedAt:
		w.returnedAt = returnedAt
		w.ramp = ramp.New(w.entry.Capacity.CPU, w.committedCPU(), returnedAt)
		w.endRamp(now)
	}
}

// committedCPU returns the CPU of all tasks on the worker, including what best-effort tasks declare.
func (w *worker) committedCPU() oleanderline.Millicores { return w.used.CPU + w.bestEffortCPU }

// rampAdmits reports whether the worker, if it has returned with its failure domain, admits another task that needs some CPU, beside those
// for which some is reserved.
func (w *worker) rampAdmits(reserved, need oleanderline.Millicores) bool {
	return w.ramp == nil || w.ramp.Admits(w.committedCPU()+reserved, need)
}

// rampFinished records that a task has finished on the worker, or a long-running one has begun to serve.
func (w *worker) rampFinished(t *task) {
	if w.ramp != nil {
		w.ramp.Finished(t.group.step.Size.CPU)
	}
}

// endRamp removes the bound of a worker that has returned, once it is over.
func (w *worker) endRamp(now time.Time) {
	if w.ramp != nil && w.ramp.Over(now) {
		w.ramp = nil
	}
}

// checkDomains notes which tasks begin and end to wait for failure domains that are out of service, and which of these have no workers.
func (p *Planner) checkDomains(now time.Time) {
	d := &p.domains
	if now.Sub(d.checkedAt) < domainCheckInterval || (len(d.view.Domains()) == 0 && len(d.waiting) == 0) {
		return
	}
	d.checkedAt = now
	waiting := map[*group]struct{}{}
	for g := range p.ready {
		if g.retryAt.IsZero() || !evacuation.WaitsForDomain(g.step, p.workersFor(g)) {
			continue
		}
		waiting[g] = struct{}{}
		if _, noted := d.waiting[g]; !noted {
			p.note(NoteDomainAwaited, oleanderline.RunKey{Task: g.tasks[0].key()}, nil, "only workers in failure domains out of service can take the tasks of this step")
		}
	}
	for g := range d.waiting {
		if _, still := waiting[g]; !still {
			p.note(NoteDomainAwaitEnds, oleanderline.RunKey{Task: g.tasks[0].key()}, nil, "the step no longer waits for a failure domain out of service")
		}
	}
	d.waiting = waiting
	p.noteUnknownDomains()
}

// workersFor returns the listed workers of the pool of a group that have the label that its step requires.
func (p *Planner) workersFor(g *group) iter.Seq[evacuation.Worker] {
	return func(yield func(evacuation.Worker) bool) {
		for _, w := range p.workers {
			if w.inDirectory && !w.entry.Draining && w.matches(g) && !yield(evacuation.Worker{InService: !w.outOfService, Capacity: w.entry.Capacity}) {
				return
			}
		}
	}
}

// noteUnknownDomains notes once which failure domains out of service have no worker in the directory.
func (p *Planner) noteUnknownDomains() {
	known := map[oleanderline.DomainID]bool{}
	for _, w := range p.workers {
		known[w.entry.Domain] = known[w.entry.Domain] || w.inDirectory
	}
	unknown := map[oleanderline.DomainID]struct{}{}
	for _, domain := range p.domains.view.Domains() {
		if known[domain] || len(known) == 0 {
			continue
		}
		unknown[domain] = struct{}{}
		if _, noted := p.domains.unknown[domain]; !noted {
			p.note(NoteDomainUnknown, oleanderline.RunKey{}, nil, "failure domain "+string(domain)+" is out of service and has no worker in the directory")
		}
	}
	p.domains.unknown = unknown
}

// WaitingForDomains returns the number of ready tasks that wait because only workers in failure domains out of service can take them.
func (p *Planner) WaitingForDomains() int {
	count := 0
	for g := range p.domains.waiting {
		count += g.readyCount
	}
	return count
}
