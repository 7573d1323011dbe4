package interference

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Settings are the bounds of the actions on one VM.
type Settings struct {
	High    float64       // slowdown from which on something is done
	Low     float64       // slowdown below which the VM is calm
	Reports int           // in a row over High before an action
	Lag     time.Duration // after an action nothing is done for so long: the reports lag
	Calm    time.Duration // after which a wave is over
	Share   float64       // of its processors that a throttled task keeps
	Without Without
}

// Without switches mechanisms off. It is used only in tests, which show that the checks notice.
type Without struct {
	Hysteresis bool // forgets after each action that a wave goes on, and does not wait for the reports
	All        bool // nothing is done
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{High: 1.5, Low: 1.2, Reports: 2, Lag: 15 * time.Second, Calm: 2 * time.Minute, Share: 0.5}
}

// Kind tells what to do with a batch task.
type Kind int

// Kinds of actions.
const (
	Nothing Kind = iota
	Throttle
	Evict   // stop it by checkpoint, so that it goes on elsewhere
	Release // end its throttling
)

// Report is one measurement of a VM.
type Report struct {
	Time  time.Time // when it was measured
	Worst float64   // largest slowdown of a latency-critical instance
	Batch []oleanderline.AttemptKey
}

// Guard decides for one VM. A wave begins with the first action and ends when the VM has been calm for some time; at most
// one task is evicted in a wave.
type Guard struct {
	settings  Settings
	measured  time.Time
	actedAt   time.Time
	over      int
	throttled *oleanderline.AttemptKey
	evicted   bool
	calmSince time.Time
}

// NewGuard returns a guard of a VM on which nothing was done.
func NewGuard(settings Settings) *Guard { return &Guard{settings: settings} }

// Judge returns what to do after a report. worst picks the batch task that slows the others most.
func (g *Guard) Judge(r Report, now time.Time, worst func() (oleanderline.AttemptKey, bool)) (Kind, oleanderline.AttemptKey) {
	none := oleanderline.AttemptKey{}
	s := g.settings
	old := !r.Time.After(g.measured) || r.Time.Before(g.actedAt) || now.Sub(g.actedAt) < s.Lag
	if s.Without.All || (old && !s.Without.Hysteresis) {
		return Nothing, none
	}
	g.measured = r.Time
	if r.Worst >= s.High {
		g.over++
		g.calmSince = time.Time{}
		return g.restrain(r, now, worst)
	}
	g.over = 0
	if r.Worst >= s.Low {
		g.calmSince = time.Time{}
		return Nothing, none
	}
	return g.relax(r)
}

// InWave reports whether something was done that is not yet undone. New batch work should stay away meanwhile.
func (g *Guard) InWave() bool { return g.throttled != nil || g.evicted }

func (g *Guard) restrain(r Report, now time.Time, worst func() (oleanderline.AttemptKey, bool)) (Kind, oleanderline.AttemptKey) {
	if g.over < g.settings.Reports && !g.settings.Without.Hysteresis {
		return Nothing, oleanderline.AttemptKey{}
	}
	if g.throttled != nil && r.has(*g.throttled) {
		key := *g.throttled
		if g.evicted {
			return Nothing, key
		}
		g.evicted = !g.settings.Without.Hysteresis
		g.throttled = nil
		g.acted(now)
		return Evict, key
	}
	key, ok := worst()
	if !ok {
		return Nothing, key
	}
	g.throttled = &key
	g.acted(now)
	return Throttle, key
}

func (g *Guard) acted(now time.Time) { g.actedAt, g.over = now, 0 }

// relax ends the wave when the VM has been calm for long enough.
func (g *Guard) relax(r Report) (Kind, oleanderline.AttemptKey) {
	if g.calmSince.IsZero() {
		g.calmSince = r.Time
	}
	if r.Time.Sub(g.calmSince) < g.settings.Calm {
		return Nothing, oleanderline.AttemptKey{}
	}
	g.evicted = false
	if g.throttled == nil {
		return Nothing, oleanderline.AttemptKey{}
	}
	key := *g.throttled
	g.throttled = nil
	if !r.has(key) {
		return Nothing, key
	}
	return Release, key
}

func (r Report) has(key oleanderline.AttemptKey) bool {
	for _, other := range r.Batch {
		if other == key {
			return true
		}
	}
	return false
}
