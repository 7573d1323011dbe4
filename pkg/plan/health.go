package plan

import "time"

const (
	// failureWeight is the weight of the newest run in the exponential moving average of the failure rate.
	failureWeight = 0.25
	// quarantineThreshold is the failure rate above which a worker is quarantined. Four failures in a row exceed it.
	quarantineThreshold = 0.6
	// rateAfterQuarantine is the failure rate that a worker has after a quarantine, so that the next failure renews the
	// quarantine.
	rateAfterQuarantine = 0.5
	// quarantineTime is how long a quarantined worker gets no new tasks.
	quarantineTime = 4 * time.Second
)

// health quarantines a worker on which many runs fail. A worker that fails every task at once is always free, and without
// quarantine would receive the whole queue.
type health struct {
	failureRate      float64
	quarantinedUntil time.Time
}

// record records whether a run failed.
func (h *health) record(failed bool, now time.Time) {
	h.failureRate *= 1 - failureWeight
	if failed {
		h.failureRate += failureWeight
	}
	if h.failureRate > quarantineThreshold {
		h.failureRate = rateAfterQuarantine
		h.quarantinedUntil = now.Add(quarantineTime)
	}
}

func (h *health) admits(now time.Time) bool { return !now.Before(h.quarantinedUntil) }
