// Package placement chooses the worker for a task from committed amounts. It never looks at lagging usage.
package placement

import (
	"slices"

	"github.com/oleanderline/oleanderline"
)

// Need is what a task requires of a worker.
type Need struct {
	Size   oleanderline.Size
	Kind   oleanderline.TaskKind
	Team   oleanderline.TeamID
	Job    oleanderline.JobID
	Urgent bool
	Avoid  []oleanderline.WorkerID // workers on which the task failed
	Spread *Spread                 // latency-critical tasks: where the instances of the job are; may be nil
}

// Candidate is a worker that accepts work.
type Candidate struct {
	Worker   oleanderline.WorkerID
	Domain   oleanderline.DomainID
	Rack     oleanderline.RackID
	Capacity oleanderline.Size
	Free     oleanderline.Size // capacity less the committed amounts
	Ahead    oleanderline.Size // of tasks that wait at the worker for room
	Batch    oleanderline.Size // what a hold leaves to batch work; ignored if Holds is false
	Holds    bool
}

// Room returns what the worker offers to a task. Urgent tasks go before those that wait at the worker.
func (c *Candidate) Room(need *Need) oleanderline.Size {
	room := c.Free
	if !need.Urgent {
		room = room.Sub(c.Ahead)
	}
	if c.Holds && need.Kind == oleanderline.KindBatch {
		room = least(room, c.Batch)
	}
	return room
}

func least(a, b oleanderline.Size) oleanderline.Size {
	return oleanderline.Size{
		CPU: min(a.CPU, b.CPU), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Take commits room to a task.
func (c *Candidate) Take(need *Need) {
	c.Free = c.Free.Sub(need.Size)
	if need.Kind == oleanderline.KindBatch {
		c.Batch = c.Batch.Sub(need.Size)
	}
	if need.Spread != nil {
		need.Spread.Add(c.Worker, c.Domain, c.Rack)
	}
}

// Chooser picks a worker whose free amounts cover the need.
type Chooser interface {
	// Choose returns the index of the chosen candidate, or false if none fits.
	Choose(need Need, workers []Candidate) (int, bool)
}

// BestFit picks the worker that is left with the least, so that large free amounts stay for large tasks. Workers with
// accelerators come last for tasks that need none, and instances of a latency-critical job are spread first of all.
type BestFit struct {
	Without Without
}

// Without switches mechanisms off. It is used only in tests, which show that the checks notice.
type Without struct {
	Accelerators bool // treats workers with accelerators like others
	Spread       bool // lets instances of a job gather
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

// score orders candidates: the first field that differs decides, and less is better.
type score struct {
	together spreadCount
	wasted   bool // has accelerators that the task does not need
	left     float64
}

func (s score) less(other score) bool {
	if s.together != other.together {
		return s.together.less(other.together)
	}
	if s.wasted != other.wasted {
		return other.wasted
	}
	return s.left < other.left
}

func (f BestFit) score(need *Need, c *Candidate) score {
	s := score{left: leftover(need.Size, c)}
	if !f.Without.Accelerators {
		s.wasted = need.Size.Accelerators == 0 && c.Capacity.Accelerators > 0
		s.left += share(int64(c.Free.Accelerators-need.Size.Accelerators), int64(c.Capacity.Accelerators))
	}
	if need.Spread != nil && !f.Without.Spread {
		s.together = need.Spread.count(c)
	}
	return s
}

// leftover is the sum of the shares of processors and memory that stay free.
func leftover(size oleanderline.Size, c *Candidate) float64 {
	left := c.Free.Sub(size)
	return share(int64(left.CPU), int64(c.Capacity.CPU)) +
		share(int64(left.Memory), int64(c.Capacity.Memory))
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
