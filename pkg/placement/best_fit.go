// Package placement chooses the worker for a task. It uses the resources committed to tasks instead of the measured
// usage, which lags.
package placement

import (
	"slices"

	"github.com/oleanderline/oleanderline"
)

// Need holds the resources and constraints of a task.
type Need struct {
	Size   oleanderline.Size
	Kind   oleanderline.TaskKind
	Team   oleanderline.TeamID
	Job    oleanderline.JobID
	Urgent bool
	Avoid  []oleanderline.WorkerID // workers on which the task has failed
	Spread *Spread                 // for latency-critical tasks: the locations of the job's instances; nil: no spreading
}

// Candidate is a worker that accepts tasks.
type Candidate struct {
	Worker    oleanderline.WorkerID
	Domain    oleanderline.DomainID
	Rack      oleanderline.RackID
	Capacity  oleanderline.Size
	Free      oleanderline.Size // capacity minus the resources committed to tasks
	Queued    oleanderline.Size // resources of the tasks queued at the worker
	BatchFree oleanderline.Size // resources that hold rules leave for batch tasks; ignored if HasHold is false
	HasHold   bool              // a hold rule applies to the worker
}

// Room returns the resources that are available to a task. Urgent tasks take precedence over the tasks queued at the
// worker.
func (c *Candidate) Room(need *Need) oleanderline.Size {
	room := c.Free
	if !need.Urgent {
		room = room.Sub(c.Queued)
	}
	if c.HasHold && need.Kind == oleanderline.KindBatch {
		room = minSize(room, c.BatchFree)
	}
	return room
}

// minSize returns the smaller amount of each resource.
func minSize(a, b oleanderline.Size) oleanderline.Size {
	return oleanderline.Size{
		CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Take commits resources to a task.
func (c *Candidate) Take(need *Need) {
	c.Free = c.Free.Sub(need.Size)
	if need.Kind == oleanderline.KindBatch {
		c.BatchFree = c.BatchFree.Sub(need.Size)
	}
	if need.Spread != nil {
		need.Spread.Add(c.Worker, c.Domain, c.Rack)
	}
}

// Chooser chooses a worker with enough free resources for a task.
type Chooser interface {
	// Choose returns the index of the chosen candidate, or false if the task fits on none.
	Choose(need Need, workers []Candidate) (int, bool)
}

// BestFit chooses the worker that has the least free resources left after placing the task, so that large free amounts
// remain for large tasks. Two criteria take precedence: instances of a latency-critical job are spread over failure
// domains, racks and workers, and then tasks without accelerators avoid workers that have some.
type BestFit struct {
	Disabled Disabled
}

// Disabled disables mechanisms. Only tests use it, to show that their checks fail without the mechanism.
type Disabled struct {
	Accelerators bool // ignores whether workers have accelerators
	Spread       bool // does not spread the instances of a job
}

// Choose implements Chooser.
func (f BestFit) Choose(need Need, workers []Candidate) (int, bool) {
	best := -1
	var bestScore score
	for i := range workers {
		if room := workers[i].Room(&need); !need.Size.Fits(room) || slices.Contains(need.Avoid, workers[i].Worker) {
			continue
		}
		if s := f.score(&need, &workers[i]); best < 0 || s.less(bestScore) {
			best, bestScore = i, s
		}
	}
	return best, best >= 0
}

// score ranks a candidate; lower is better. Scores are compared field by field, in this order.
type score struct {
	colocated          instanceCount
	wastesAccelerators bool    // the worker has accelerators and the task needs none
	leftover           float64 // sum of the shares of each resource that remain free
}

func (s score) less(other score) bool {
	if s.colocated != other.colocated {
		return s.colocated.less(other.colocated)
	}
	if s.wastesAccelerators != other.wastesAccelerators {
		return other.wastesAccelerators
	}
	return s.leftover < other.leftover
}

func (f BestFit) score(need *Need, c *Candidate) score {
	s := score{leftover: leftoverShare(need.Size, c)}
	if !f.Disabled.Accelerators {
		s.wastesAccelerators = need.Size.Accelerators == 0 && c.Capacity.Accelerators > 0
		s.leftover += share(int64(c.Free.Accelerators-need.Size.Accelerators), int64(c.Capacity.Accelerators))
	}
	if need.Spread != nil && !f.Disabled.Spread {
		s.colocated = need.Spread.count(c)
	}
	return s
}

// leftoverShare returns the sum of the shares of CPU and memory that remain free after placing a task of a size.
func leftoverShare(size oleanderline.Size, c *Candidate) float64 {
	remaining := c.Free.Sub(size)
	return share(int64(remaining.CPU), int64(c.Capacity.CPU)) +
		share(int64(remaining.Memory), int64(c.Capacity.Memory))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
