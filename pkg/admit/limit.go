package admit

import (
	"math"
	"time"
)

// LimitSettings control how a Limit reacts to latency.
type LimitSettings struct {
	Enabled        bool
	Tolerance      float64 // multiple of the typical run time above which a sustained latency decreases the limit
	Threshold      float64 // cumulative logarithmic excess over Tolerance at which the limit decreases
	DecreaseFactor float64 // factor by which a decrease multiplies the limit
}

// DefaultLimitSettings returns the production settings. A minion that is 16 times slower reaches a Threshold of 10 after
// 5 answers, and one that is 4 times slower after 14; the noise of heavy-tailed run times very rarely reaches it.
func DefaultLimitSettings() LimitSettings {
	return LimitSettings{Enabled: true, Tolerance: 2, Threshold: 10, DecreaseFactor: 0.6}
}

// Limit is an adaptive concurrency limit for the requests in flight at one minion, with additive increase and
// multiplicative decrease (AIMD). It is for minions that slow down before all their slots are busy. Below 1 it allows one
// request for a part of the time only, because several entries with one slot each can overload a minion together. A
// cumulative sum (CUSUM) detects the slowdown, because a slow minion gives too few answers for a moving average.
type Limit struct {
	settings LimitSettings
	value    float64
	upper    float64
	excess   float64   // cumulative sum of the logarithmic excess over Tolerance; not below zero
	resumeAt time.Time // if value is below 1: when the next request may run
}

const (
	// minLimit keeps a few requests in flight, whose answers show when the minion has recovered.
	minLimit = 0.1
	// maxLogRatio limits the influence of a single answer.
	maxLogRatio = 3
	// increaseStep is the amount by which an answer raises the limit while excess is zero; above a limit of 1 it is
	// divided by the limit.
	increaseStep = 0.1
)

// NewLimit returns a limit that starts at upper, which it never exceeds.
func NewLimit(settings LimitSettings, upper int) Limit {
	return Limit{settings: settings, value: float64(upper), upper: float64(upper)}
}

// Allows reports whether one more request may be sent while inFlight others are in progress.
func (l *Limit) Allows(inFlight int, now time.Time) bool {
	if !l.settings.Enabled {
		return true
	}
	return float64(inFlight)+1 <= math.Max(1, l.value) && !now.Before(l.resumeAt)
}

// Observe records an answer and its latency. logRatio is the logarithm of the latency relative to the typical run time of
// its class; inFlight is the number of requests that were in flight at the minion, this one included.
func (l *Limit) Observe(logRatio float64, latency time.Duration, inFlight int, now time.Time) {
	logRatio = max(-maxLogRatio, min(maxLogRatio, logRatio))
	l.excess = max(0, l.excess+logRatio-math.Log(l.settings.Tolerance))
	switch {
	case l.excess >= l.settings.Threshold:
		l.value = max(minLimit, min(l.value, float64(inFlight))*l.settings.DecreaseFactor)
		l.excess = 0
	case l.excess == 0:
		l.value = min(l.upper, l.value+increaseStep/max(1, l.value))
	}
	if l.value < 1 {
		l.resumeAt = now.Add(time.Duration(float64(latency) * (1/l.value - 1)))
	}
}
