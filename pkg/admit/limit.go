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
	return LimitSettings{Enabled: true, Over: 2, Cut: 0.75, Pause: 100 * time.Millisecond, Samples: 8}
}

// Limit bounds the requests in flight at one minion by additive increase and multiplicative decrease, for minions that
// slow down before all their slots are busy. It never falls below 1.
type Limit struct {
	settings LimitSettings
	value    float64
	top      float64
	slow     float64 // moving logarithm of the latency relative to the usual one
	samples  int
	cutAt    time.Time
}

// limitWeight lets the latency follow about the last 8 answers.
const limitWeight = 1.0 / 8

// NewLimit returns a limit that starts at top, which it never exceeds.
func NewLimit(settings LimitSettings, top int) Limit {
	return Limit{settings: settings, value: float64(top), top: float64(top)}
}

// Allows reports whether one more request may run beside inFlight others.
func (l *Limit) Allows(inFlight int) bool {
	return !l.settings.Enabled || float64(inFlight)+1 <= math.Max(1, l.value)
}

// Observe records an answer. ratio is the logarithm of its latency relative to the usual one of its class; inFlight is
// the number of requests that ran beside it, at the most.
func (l *Limit) Observe(ratio float64, inFlight int, now time.Time) {
	l.samples++
	l.slow += limitWeight * (ratio - l.slow)
	if l.samples < l.settings.Samples {
		return
	}
	switch {
	case l.slow > math.Log(l.settings.Over) && now.Sub(l.cutAt) >= l.settings.Pause:
		l.value = math.Max(1, math.Min(l.value, float64(inFlight))*l.settings.Cut)
		l.cutAt = now
		l.samples = 0
	case l.slow < math.Log(l.settings.Over)/2:
		l.value = math.Min(l.top, l.value+1/l.value)
	}
}
