package plan

import (
	"slices"
	"time"
)

// maxReplicaAge is the maximum age of a worker's report for a comparison with its long-running tasks. Their load changes little
// within this time.
const maxReplicaAge = 700 * time.Millisecond

// tailSample collects the tail latencies of the long-running tasks of one image on a worker.
type tailSample struct {
	targetRatio   float64   // highest ratio of a tail latency to its target
	replicaRatios []float64 // ratios of the tail latencies to those of replicas on other workers
}

// add adds the ratios of one task. A replicaRatio of 0 means that there was no replica to compare with.
func (s *tailSample) add(targetRatio, replicaRatio float64) {
	s.targetRatio = max(s.targetRatio, targetRatio)
	if replicaRatio > 0 {
		s.replicaRatios = append(s.replicaRatios, replicaRatio)
	}
}

// replicaRatio returns the median ratio to replicas, or 0 if there is none.
func (s *tailSample) replicaRatio() float64 {
	if len(s.replicaRatios) == 0 {
		return 0
	}
	slices.Sort(s.replicaRatios)
	return s.replicaRatios[len(s.replicaRatios)/2]
}

// replicaRatio returns the ratio of a long-running task's tail latency to that of its replicas, the tasks of the same step
// on other workers, which serve the same load. It returns 0 if there is nothing to compare with. It compares with the lower
// quartile, because best-effort tasks may slow down some of the replicas as well.
func (t *task) replicaRatio(now time.Time) float64 {
	if !t.hasStableTail(now) {
		return 0
	}
	var tails []int
	for i := range t.group.tasks {
		other := &t.group.tasks[i]
		if other.worker != nil && other.worker != t.worker && other.hasStableTail(now) && now.Sub(other.worker.reportedAt) < maxReplicaAge {
			tails = append(tails, other.gauge)
		}
	}
	if len(tails) == 0 {
		return 0
	}
	slices.Sort(tails)
	return float64(t.gauge) / float64(tails[len(tails)/4])
}

// hasStableTail reports whether a long-running task has served for so long that its reported tail latency no longer includes
// its start.
func (t *task) hasStableTail(now time.Time) bool {
	return t.isServing() && now.Sub(t.progressAt) > reportLag && t.gauge > 0
}

// isServing reports whether a long-running task is running and ready to serve. By the newest report it may be, although this leader has
// ordered that its VM goes down.
func (t *task) isServing() bool {
	return t.state == taskRunning && t.percent >= percentComplete && !t.worker.takenDown
}
