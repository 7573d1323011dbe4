// Package eject decides which minions of a service get no requests for a while, because they refuse, break connections or
// answer slowly.
package eject

import (
	"math"
	"time"
)

// Settings of an Ejector.
type Settings struct {
	Enabled  bool
	Failures int           // consecutive failures that eject
	Share    float64       // part of the recent exchanges that failed and ejects
	Slow     float64       // multiple of the usual latency that ejects
	Samples  int           // exchanges before Share or Slow can eject
	Part     float64       // greatest part of the minions that may be ejected at the same time
	First    time.Duration // from the ejection to the first probe
	Longest  time.Duration // the time between probes doubles up to this
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		Enabled:  true,
		Failures: 3, // an entry has only a few slots of a minion, so that more would take several timeouts
		Share:    0.5,
		Slow:     4,
		Samples:  20,
		Part:     1.0 / 3,
		First:    500 * time.Millisecond,
		Longest:  10 * time.Second,
	}
}

// Minion is what an Ejector knows about one minion.
type Minion struct {
	failures int
	failed   float64 // moving share of failed exchanges
	slow     float64 // moving logarithm of the latency relative to the usual one
	samples  int
	ejected  bool
	probing  bool
	probeAt  time.Time
	pause    time.Duration
}

// Ejected reports whether the minion gets no requests.
func (m *Minion) Ejected() bool { return m.ejected }

// Score returns the recent latency relative to the usual one; 1 is usual.
func (m *Minion) Score() float64 { return math.Exp(m.slow) }

// Ejector watches the minions of one service.
type Ejector struct {
	settings Settings
	minions  int
	ejected  int
}

const (
	// The moving averages follow about the last 16 exchanges.
	weight = 1.0 / 16
	// fade lets the memory of slowness halve within about 7 s of ticks 100 ms apart, so that a minion that is rarely
	// chosen gets another chance.
	fade = 0.01
)

// New returns an ejector without minions.
func New(settings Settings) *Ejector {
	return &Ejector{settings: settings}
}

// Add counts a minion.
func (e *Ejector) Add() { e.minions++ }

// Remove forgets a minion.
func (e *Ejector) Remove(m *Minion) {
	e.minions--
	if m.ejected {
		e.ejected--
	}
}

// Observe records the end of an exchange and reports whether it ejects the minion. ratio is the logarithm of the latency
// relative to the usual one of its class, or zero if that is not known.
func (e *Ejector) Observe(m *Minion, failed bool, ratio float64, now time.Time) bool {
	m.samples++
	if failed {
		m.failures++
		m.failed += weight * (1 - m.failed)
	} else {
		m.failures = 0
		m.failed -= weight * m.failed
		m.slow += weight * (ratio - m.slow)
	}
	if m.ejected || !e.bad(m) || !e.mayEject() {
		return false
	}
	m.ejected = true
	m.pause = e.settings.First
	m.probeAt = now.Add(m.pause)
	e.ejected++
	return true
}

func (e *Ejector) bad(m *Minion) bool {
	if m.failures >= e.settings.Failures {
		return true
	}
	return m.samples >= e.settings.Samples &&
		(m.failed > e.settings.Share || m.slow > math.Log(e.settings.Slow))
}

func (e *Ejector) mayEject() bool {
	return e.settings.Enabled && float64(e.ejected+1) <= e.settings.Part*float64(e.minions)
}

// ProbeDue reports whether a probe of an ejected minion is to be sent now. Each probe needs a ProbeResult.
func (e *Ejector) ProbeDue(m *Minion, now time.Time) bool {
	if !m.ejected || m.probing || now.Before(m.probeAt) {
		return false
	}
	m.probing = true
	return true
}

// ProbeResult records the result of a probe and reports whether the minion returns.
func (e *Ejector) ProbeResult(m *Minion, ok bool, now time.Time) bool {
	m.probing = false
	if !m.ejected {
		return false
	}
	if !ok {
		m.pause = min(2*m.pause, e.settings.Longest)
		m.probeAt = now.Add(m.pause)
		return false
	}
	e.ejected--
	*m = Minion{}
	return true
}

// Fade lets the memory of slowness fade; it is called every 100 ms.
func (e *Ejector) Fade(m *Minion) { m.slow -= fade * m.slow }
