// Package runtimes keeps how long the tasks of a step, or of a queue, have run of late. It answers estimates that are far off: a caller's
// estimate is wrong for a whole job, while the tasks of one step resemble each other.
package runtimes

import (
	"slices"
	"time"
)

// size is the number of runs that are kept. The median of so many is within a fifth of the true one in most cases, also if the run times
// spread by half.
const size = 32

// Sample holds the run times of the newest runs. The zero value is an empty sample.
type Sample struct {
	newest [size]time.Duration
	count  int
}

// Add adds the run time of a run that has ended.
func (s *Sample) Add(took time.Duration) {
	s.newest[s.count%size] = took
	s.count++
}

// Count returns the number of run times in the sample.
func (s *Sample) Count() int { return min(s.count, size) }

// All returns a copy of the run times in the sample.
func (s *Sample) All() []time.Duration { return slices.Clone(s.newest[:s.Count()]) }

// Median returns the median, or 0 if the sample is empty.
func (s *Sample) Median() time.Duration {
	if s.count == 0 {
		return 0
	}
	sorted := s.All()
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
