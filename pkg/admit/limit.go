package admit

import (
	"math"
	"time"
)

// LimitSettings tell how a Limit follows the latency.
type LimitSettings struct {
	Enabled  bool
	Over     float64 // multiple of the usual latency above which the limit falls in the long run
	Evidence float64 // sum of the logarithmic excess over Over that makes the limit fall
	Cut      float64 // factor of a fall
}

// DefaultLimitSettings returns the settings for production. An evidence of 10 takes 5 answers from a minion that is 16
// times slower and 14 from one that is 4 times slower; the noise of heavy-tailed run times hardly ever reaches it.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{Enabled: true, Over: 2, Evidence: 10, Cut: 0.6}
}

// Limit bounds the requests in flight at one minion by additive increase and multiplicative decrease, for minions that
// slow down before all their slots are busy. Below 1 it lets one request run for a part of the time only, because several
// entries with one slot each can overload a minion together. A cumulative sum detects the slowdown, because a slow minion
// gives too few answers for an average over many.
type Limit struct {
	settings LimitSettings
	value    float64
	top      float64
	evidence float64
	resume   time.Time // below 1: when the next request may run
}

const (
	// lowest keeps some answers coming, from which the limit learns that the minion has recovered.
	lowest = 0.1
	// widest bounds the weight of a single answer.
	widest = 3
	// raise is the part of a request by which an answer without evidence raises the limit.
	raise = 0.1
)

// NewLimit returns a limit that starts at top, which it never exceeds.
func NewLimit(settings LimitSettings, top int) Limit {
	return Limit{settings: settings, value: float64(top), top: float64(top)}
}

// Allows reports whether one more request may run beside inFlight others.
func (l *Limit) Allows(inFlight int, now time.Time) bool {
	if !l.settings.Enabled {
		return true
	}
	return float64(inFlight)+1 <= math.Max(1, l.value) && !now.Before(l.resume)
}

// Observe records an answer and its latency. ratio is the logarithm of the latency relative to the usual one of its
// class; inFlight is the number of requests that ran beside it, at the most.
func (l *Limit) Observe(ratio float64, latency time.Duration, inFlight int, now time.Time) {
	ratio = max(-widest, min(widest, ratio))
	l.evidence = max(0, l.evidence+ratio-math.Log(l.settings.Over))
	switch {
	case l.evidence >= l.settings.Evidence:
		l.value = max(lowest, min(l.value, float64(inFlight))*l.settings.Cut)
		l.evidence = 0
	case l.evidence == 0:
		l.value = min(l.top, l.value+raise/max(1, l.value))
	}
	if l.value < 1 {
		l.resume = now.Add(time.Duration(float64(latency) * (1/l.value - 1)))
	}
}
