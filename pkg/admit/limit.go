package admit

import (
	"math"
	"time"
)

// LimitSettings tell how a Limit follows the latency.
type LimitSettings struct {
	Enabled bool
	Over    float64       // multiple of the usual latency above which the limit falls
	Cut     float64       // factor of a fall
	Pause   time.Duration // shortest time between two falls
	Samples int           // answers between two changes
}

// DefaultLimitSettings returns the settings for production.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{Enabled: true, Over: 2, Cut: 0.75, Pause: 100 * time.Millisecond, Samples: 32}
}

// Limit bounds the requests in flight at one minion by additive increase and multiplicative decrease, for minions that
// slow down before all their slots are busy. Below 1 it lets one request run for a part of the time only, because several
// entries with one slot each can overload a minion together.
type Limit struct {
	settings LimitSettings
	value    float64
	top      float64
	slow     float64 // moving logarithm of the latency relative to the usual one
	samples  int
	cutAt    time.Time
	resume   time.Time // below 1: when the next request may run
}

// limitWeight lets the latency follow about the last 32 answers. With 8, the noise of heavy-tailed run times cut the limits
// of sound minions: the p99 at 90% load rose from 343 ms to 1788 ms.
const limitWeight = 1.0 / 32

// lowest keeps some answers coming, from which the limit learns that the minion has recovered.
const lowest = 0.1

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
	l.samples++
	l.slow += limitWeight * (ratio - l.slow)
	if l.samples >= l.settings.Samples {
		l.adapt(inFlight, now)
	}
	if l.value < 1 {
		l.resume = now.Add(time.Duration(float64(latency) * (1/l.value - 1)))
	}
}

func (l *Limit) adapt(inFlight int, now time.Time) {
	switch {
	case l.slow > math.Log(l.settings.Over) && now.Sub(l.cutAt) >= l.settings.Pause:
		l.value = math.Max(lowest, math.Min(l.value, float64(inFlight))*l.settings.Cut)
		l.cutAt = now
		l.samples = 0
	case l.slow < math.Log(l.settings.Over)/2:
		l.value = math.Min(l.top, l.value+0.1/math.Max(1, l.value))
	}
}
