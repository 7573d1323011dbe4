package plan

import "github.com/oleanderline/oleanderline/pkg/pairs"

// maxExposure is the greatest exposure of a worker, as a share of its CPU. Several tasks of a harmful image that start together
// overload the long-running tasks beside them, whose backlog lasts for seconds after the tasks have been paused.
const maxExposure = 0.05

// exceedsExposure reports whether a best-effort task has to wait until more is known about the best-effort tasks on a worker. A
// worker takes one task that may interfere there, so that the pair is learned, and further ones within maxExposure.
func (p *Planner) exceedsExposure(w *worker, t *task) bool {
	if !t.group.step.BestEffort {
		return false
	}
	image := imageOf(t)
	harm := p.imageHarm(w, image)
	if harm <= negligibleHarm {
		return false
	}
	exposure := p.exposure(w)
	return exposure > 0 && exposure+harm*float64(t.group.step.Size.CPU) > maxExposure*float64(w.entry.Capacity.CPU)
}

// exposure returns the CPU of the best-effort tasks on a worker that may interfere there, weighted by their probability of harm, in
// millicores. It is computed once in a pass for each worker, unless the worker takes a task.
func (p *Planner) exposure(w *worker) float64 {
	if w.exposedIn != p.pass {
		w.exposed, w.exposedIn = p.computeExposure(w), p.pass
	}
	return w.exposed
}

func (p *Planner) computeExposure(w *worker) float64 {
	sum := 0.0
	for image, cpu := range w.bestEffortImages {
		if harm := p.imageHarm(w, image); harm > negligibleHarm {
			sum += harm * float64(cpu)
		}
	}
	return sum
}

// imageHarm returns the highest probability with which a best-effort image interferes with a long-running task of a worker.
func (p *Planner) imageHarm(w *worker, bestEffort pairs.Image) float64 {
	highest := 0.0
	for serving := range w.servingImages {
		highest = max(highest, p.pairs.HarmProbability(serving, bestEffort))
	}
	return highest
}
