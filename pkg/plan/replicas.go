package plan

import (
	"slices"
	"time"
)

// replicaAge is how old the report of another worker may be for its lasting tasks to be compared with: their load changes
// little within that time.
const replicaAge = 700 * time.Millisecond

// imageTails collects the tails of the lasting tasks of one image on a worker.
type imageTails struct {
	ratio    float64 // the highest ratio of a tail to its target
	excesses []float64
}

func (s *imageTails) add(ratio, excess float64) {
	s.ratio = max(s.ratio, ratio)
	if excess > 0 {
		s.excesses = append(s.excesses, excess)
	}
}

// excess returns the median of the excesses, or 0 if there is none.
func (s *imageTails) excess() float64 {
	if len(s.excesses) == 0 {
		return 0
	}
	slices.Sort(s.excesses)
	return s.excesses[len(s.excesses)/2]
}

// excess returns the tail of a lasting task as a multiple of those of the other tasks of its step on other workers, which
// carry the same load; 0 if there is nothing to compare. It compares with the lower ones, because the others may be
// disturbed as well.
func (t *task) excess(now time.Time) float64 {
	if !t.settled(now) {
		return 0
	}
	var tails []int
	for i := range t.group.tasks {
		other := &t.group.tasks[i]
		if other.worker != nil && other.worker != t.worker && other.settled(now) && now.Sub(other.worker.heard) < replicaAge {
			tails = append(tails, other.gauge)
		}
	}
	if len(tails) == 0 {
		return 0
	}
	slices.Sort(tails)
	return float64(t.gauge) / float64(tails[len(tails)/4])
}

// settled reports whether a lasting task has served for long enough that its tail tells about nothing else.
func (t *task) settled(now time.Time) bool {
	return t.atWork() && now.Sub(t.moved) > paceLag && t.gauge > 0
}

// atWork reports whether a lasting task runs and serves.
func (t *task) atWork() bool { return t.state == taskRunning && t.percent >= atWork }
