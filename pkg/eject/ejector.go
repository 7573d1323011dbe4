// Package eject implements outlier ejection: it decides which minions of a service get no requests for some time because
// they refuse requests, break connections or answer slowly.
package eject

import (
	"math"
	"time"
)

// Settings of an Ejector.
type Settings struct {
	Enabled                bool
	MaxConsecutiveFailures int           // number of consecutive failures at which a minion is ejected
	MaxFailureShare        float64       // share of failed recent exchanges above which a minion is ejected
	MaxSlowdown            float64       // multiple of the typical run time above which a minion is ejected
	MinSamples             int           // exchanges of a minion before MaxFailureShare and MaxSlowdown apply
	MaxEjectedShare        float64       // maximum share of the minions that may be ejected at the same time
	FirstProbeDelay        time.Duration // time from the ejection to the first probe
	MaxProbeDelay          time.Duration // maximum time between probes, which doubles after each failed probe
}

// DefaultSettings returns the production settings.
func DefaultSettings() Settings {
	return Settings{
		Enabled:                true,
		MaxConsecutiveFailures: 3, // an entry has only a few slots of a minion, so a higher number would take several timeouts
		MaxFailureShare:        0.5,
		MaxSlowdown:            4,
		MinSamples:             20,
		MaxEjectedShare:        1.0 / 3,
		FirstProbeDelay:        500 * time.Millisecond,
		MaxProbeDelay:          10 * time.Second,
	}
}

// Minion holds the health statistics of one minion.
type Minion struct {
	consecutiveFailures int
	failureShare        float64 // moving average of the share of failed exchanges
	logSlowdown         float64 // moving average of the logarithm of the latency relative to the typical run time
	samples             int
	ejected             bool
	probing             bool // a probe is in flight
	probeAt             time.Time
	probeDelay          time.Duration
}

// Ejected reports whether the minion is ejected and must not get requests.
func (m *Minion) Ejected() bool { return m.ejected }

// Score returns the recent latency relative to the typical run time; 1 is typical.
func (m *Minion) Score() float64 { return math.Exp(m.logSlowdown) }

// Ejector decides which minions of one service are ejected.
type Ejector struct {
	settings Settings
	minions  int
	ejected  int
}

const (
	// sampleWeight is the weight of an exchange in the moving averages, which cover about the last 16 exchanges.
	sampleWeight = 1.0 / 16
	// decayRate halves the recorded slowdown within about 7 s at one call of Decay every 100 ms, so that a slow minion,
	// which is rarely chosen, gets requests again.
	decayRate = 0.01
)

// New returns an Ejector without minions.
func New(settings Settings) *Ejector {
	return &Ejector{settings: settings}
}

// Add adds a minion to the number of which a share may be ejected.
func (e *Ejector) Add() { e.minions++ }

// Remove removes a minion.
func (e *Ejector) Remove(m *Minion) {
	e.minions--
	if m.ejected {
		e.ejected--
	}
}

// Observe records the end of an exchange and reports whether the minion is ejected because of it. logRatio is the
// logarithm of the latency relative to the typical run time of its class, or zero if that is not known.
func (e *Ejector) Observe(m *Minion, failed bool, logRatio float64, now time.Time) bool {
	m.samples++
	if failed {
		m.consecutiveFailures++
		m.failureShare += sampleWeight * (1 - m.failureShare)
	} else {
		m.consecutiveFailures = 0
		m.failureShare -= sampleWeight * m.failureShare
		m.logSlowdown += sampleWeight * (logRatio - m.logSlowdown)
	}
	if m.ejected || !e.unhealthy(m) || !e.mayEject() {
		return false
	}
	m.ejected = true
	m.probeDelay = e.settings.FirstProbeDelay
	m.probeAt = now.Add(m.probeDelay)
	e.ejected++
	return true
}

// unhealthy reports whether the statistics of a minion exceed a limit.
func (e *Ejector) unhealthy(m *Minion) bool {
	if m.consecutiveFailures >= e.settings.MaxConsecutiveFailures {
		return true
	}
	return m.samples >= e.settings.MinSamples &&
		(m.failureShare > e.settings.MaxFailureShare || m.logSlowdown > math.Log(e.settings.MaxSlowdown))
}

// mayEject reports whether one more minion may be ejected.
func (e *Ejector) mayEject() bool {
	return e.settings.Enabled && float64(e.ejected+1) <= e.settings.MaxEjectedShare*float64(e.minions)
}

// ProbeDue reports whether a probe must be sent to an ejected minion now. Call HandleProbeResult once for each probe.
func (e *Ejector) ProbeDue(m *Minion, now time.Time) bool {
	if !m.ejected || m.probing || now.Before(m.probeAt) {
		return false
	}
	m.probing = true
	return true
}

// HandleProbeResult processes the result of a probe and reports whether the minion is no longer ejected.
func (e *Ejector) HandleProbeResult(m *Minion, ok bool, now time.Time) bool {
	m.probing = false
	if !m.ejected {
		return false
	}
	if !ok {
		m.probeDelay = min(2*m.probeDelay, e.settings.MaxProbeDelay)
		m.probeAt = now.Add(m.probeDelay)
		return false
	}
	e.ejected--
	*m = Minion{}
	return true
}

// Decay decays the recorded slowdown of a minion. Call it every 100 ms.
func (e *Ejector) Decay(m *Minion) { m.logSlowdown -= decayRate * m.logSlowdown }
