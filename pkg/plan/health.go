package plan

import "time"

const (
	// failWeight is the weight of the newest end in the moving share of failures.
	failWeight = 0.25
	// failShare is the moving share of failures above which a worker gets nothing for a while: four failures in a row.
	failShare = 0.6
	// afterQuarantine is the share after a quarantine, so that the first further failure renews it.
	afterQuarantine = 0.5
	quarantine      = 4 * time.Second
)

// health keeps work away from a worker that fails what it starts. It answers a load in which some workers fail every task
// at once, and would draw all of the queue onto themselves.
type health struct {
	share float64
	until time.Time
}

func (h *health) ended(failed bool, now time.Time) {
	h.share *= 1 - failWeight
	if failed {
		h.share += failWeight
	}
	if h.share > failShare {
		h.share = afterQuarantine
		h.until = now.Add(quarantine)
	}
}

func (h *health) admits(now time.Time) bool { return !now.Before(h.until) }
