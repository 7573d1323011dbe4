package interference

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Settings are the thresholds for throttling and evicting batch tasks on one VM.
type Settings struct {
	High     float64       // slowdown from which batch tasks are throttled or evicted
	Low      float64       // slowdown below which the VM counts as calm
	Reports  int           // consecutive reports of at least High before an action
	Lag      time.Duration // after an action, reports are ignored for this time because they lag
	Calm     time.Duration // an episode ends after the VM has been calm for this time
	Share    float64       // share of its CPU that a throttled task keeps
	Disabled Disabled
}

// Disabled disables mechanisms. Only tests use it, to verify that their checks fail without these mechanisms.
type Disabled struct {
	Hysteresis bool // disables Reports, Lag and the limit of one eviction in an episode
	All        bool // disables all actions
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{High: 1.5, Low: 1.2, Reports: 2, Lag: 15 * time.Second, Calm: 2 * time.Minute, Share: 0.5}
}

// Kind is an action on a batch task.
type Kind int

// Kinds of actions.
const (
	Nothing Kind = iota
	Throttle
	Evict   // stop it with a checkpoint, so that it resumes on another VM
	Release // end its throttling
)

// Report is one measurement of a VM.
type Report struct {
	Time  time.Time                 // when it was measured
	Worst float64                   // largest slowdown of a latency-critical instance
	Batch []oleanderline.AttemptKey // batch tasks on the VM
}

// Guard determines the actions on one VM. An episode of interference begins with the first action and ends when the VM
// has been calm for some time. At most one task is evicted in an episode.
type Guard struct {
	settings    Settings
	reportedAt  time.Time // of the newest report used
	actedAt     time.Time // of the last action
	highReports int       // consecutive reports of at least High, counted from the last action
	throttled   *oleanderline.AttemptKey
	evicted     bool      // a task was evicted in this episode
	calmSince   time.Time // zero while the VM is not calm
}

// NewGuard returns a guard for a VM without an episode.
func NewGuard(settings Settings) *Guard { return &Guard{settings: settings} }

// Decide returns the action after a report, and the batch task that it concerns. worst returns the batch task that slows down
// the latency-critical instances most, or false if there is none.
func (g *Guard) Decide(report Report, now time.Time, worst func() (oleanderline.AttemptKey, bool)) (Kind, oleanderline.AttemptKey) {
	none := oleanderline.AttemptKey{}
	settings := g.settings
	stale := !report.Time.After(g.reportedAt) || report.Time.Before(g.actedAt) || now.Sub(g.actedAt) < settings.Lag
	if settings.Disabled.All || (stale && !settings.Disabled.Hysteresis) {
		return Nothing, none
	}
	g.reportedAt = report.Time
	if report.Worst >= settings.High {
		g.highReports++
		g.calmSince = time.Time{}
		return g.escalate(report, now, worst)
	}
	g.highReports = 0
	if report.Worst >= settings.Low {
		g.calmSince = time.Time{}
		return Nothing, none
	}
	return g.endEpisodeIfCalm(report)
}

// Restrained reports whether an episode is in progress. No new batch task should be placed on the VM until it ends.
func (g *Guard) Restrained() bool { return g.throttled != nil || g.evicted }

// escalate returns the action after a report of at least High: it throttles the worst batch task, and evicts it, once in
// an episode, if the slowdown continues.
func (g *Guard) escalate(report Report, now time.Time, worst func() (oleanderline.AttemptKey, bool)) (Kind, oleanderline.AttemptKey) {
	if g.highReports < g.settings.Reports && !g.settings.Disabled.Hysteresis {
		return Nothing, oleanderline.AttemptKey{}
	}
	if g.throttled != nil && report.has(*g.throttled) {
		key := *g.throttled
		if g.evicted {
			return Nothing, key
		}
		g.evicted = !g.settings.Disabled.Hysteresis
		g.throttled = nil
		g.recordAction(now)
		return Evict, key
	}
	key, ok := worst()
	if !ok {
		return Nothing, key
	}
	g.throttled = &key
	g.recordAction(now)
	return Throttle, key
}

func (g *Guard) recordAction(now time.Time) { g.actedAt, g.highReports = now, 0 }

// endEpisodeIfCalm ends the episode once the VM has been calm for the time Calm, and then releases the throttled task.
func (g *Guard) endEpisodeIfCalm(report Report) (Kind, oleanderline.AttemptKey) {
	if g.calmSince.IsZero() {
		g.calmSince = report.Time
	}
	if report.Time.Sub(g.calmSince) < g.settings.Calm {
		return Nothing, oleanderline.AttemptKey{}
	}
	g.evicted = false
	if g.throttled == nil {
		return Nothing, oleanderline.AttemptKey{}
	}
	key := *g.throttled
	g.throttled = nil
	if !report.has(key) {
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
