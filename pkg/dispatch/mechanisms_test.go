package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// inTimeShare returns the share of calls answered before their deadline, among those that arrived at or after from. Calls
// that cannot meet their deadline even without waiting are left out.
func inTimeShare(results []result, from time.Duration) float64 {
	all, good := 0, 0
	for _, r := range results {
		if r.arrivesAt < from || (r.timeout > 0 && r.runTime+2*minionDelay > r.timeout) {
			continue
		}
		all++
		if r.answered && (r.timeout == 0 || r.elapsed <= r.timeout) {
			good++
		}
	}
	return float64(good) / float64(all)
}

// Guards against a mechanism that has no effect: each outcome must hold with the default settings and must not hold with
// the mechanism disabled. The bounds come from the design targets or from the capacity of the slots.
func TestEachMechanismIsNeeded(t *testing.T) {
	slo := &rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: 80 * time.Millisecond}}}
	steady := workload{minions: 9, entries: 3, duration: 8 * time.Second, load: constant(0.6), timeout: time.Second}
	scenarios := []struct {
		name     string
		disable  func(*Settings)
		workload workload
		rules    *rules.Set
		change   func(*simulation, []call)
		holds    func(*simulation, []result) bool
	}{
		{
			name:     "loans let one entry use the slots of the others",
			disable:  func(s *Settings) { s.Lending = false },
			workload: steady,
			change: func(_ *simulation, calls []call) {
				for i := range calls {
					calls[i].entry = 0
				}
			},
			holds: func(_ *simulation, results []result) bool { return inTimeShare(results, 2*time.Second) >= 0.95 },
		},
		{
			name:     "the wait estimate refuses calls within 50 ms",
			disable:  func(s *Settings) { s.Admit.RefuseEarly = false },
			workload: workload{minions: 9, entries: 3, duration: 6 * time.Second, load: constant(1.5), timeout: 500 * time.Millisecond},
			rules:    slo,
			holds: func(_ *simulation, results []result) bool {
				var refusals []time.Duration
				for _, r := range results {
					if !r.answered {
						refusals = append(refusals, r.elapsed)
					}
				}
				return percentile(refusals, 0.99) <= 50*time.Millisecond
			},
		},
		{
			name:     "lanes keep short calls within 1.5 times of their p99 alone",
			disable:  func(s *Settings) { s.Admit.Lanes = false },
			workload: workload{minions: 9, entries: 3, duration: 20 * time.Second, load: constant(1.3), long: 0.6},
			holds: func(_ *simulation, results []result) bool {
				beside, _ := latencies(results, "short", warmUp)
				alone := workload{minions: 9, entries: 3, duration: 20 * time.Second, load: constant(1.3), long: 0.6, shortOnly: true}
				sim := newSimulation(policyCore, 9, 3, DefaultSettings(), &rules.Set{})
				times, _ := latencies(sim.run(alone.calls()), "short", warmUp)
				return float64(percentile(beside, 0.99)) <= 1.5*float64(percentile(times, 0.99))
			},
		},
		{
			name:     "ejection stops sending to a minion that never answers",
			disable:  func(s *Settings) { s.Eject.Enabled = false },
			workload: steady,
			change:   func(sim *simulation, _ []call) { sim.minions[0].silent = true },
			holds:    func(_ *simulation, results []result) bool { return inTimeShare(results, 4*time.Second) >= 0.999 },
		},
		{
			name:     "concurrency limits reduce the load of minions that slow down before their slots are full",
			disable:  func(s *Settings) { s.Limit.Enabled = false; s.Eject.Enabled = false },
			workload: workload{minions: 9, entries: 3, duration: 8 * time.Second, load: constant(0.75), timeout: time.Second},
			change: func(sim *simulation, _ []call) {
				sim.minions[0].knee, sim.minions[1].knee = 2, 2
			},
			// With all 8 slots busy, such a minion is 16 times slower; the limit must remove more than half of the
			// slowdown.
			holds: func(sim *simulation, _ []result) bool { return sim.meanSlowdown() < 8 },
		},
		{
			name:     "comparing random candidates sends fewer calls to a slow minion",
			disable:  func(s *Settings) { s.Choices = 1 },
			workload: workload{minions: 9, entries: 3, duration: 8 * time.Second, load: constant(0.4), timeout: time.Second},
			change:   func(sim *simulation, _ []call) { sim.minions[0].slowdown = 3 },
			// If only free slots counted, a minion that is 3 times slower would get a third of the calls of another.
			holds: func(sim *simulation, results []result) bool {
				return float64(sim.sends["m-0"]) < float64(len(results))/9/3
			},
		},
	}
	for _, s := range scenarios {
		for _, disabled := range []bool{false, true} {
			settings := DefaultSettings()
			if disabled {
				s.disable(&settings)
			}
			if s.rules == nil {
				s.rules = &rules.Set{}
			}
			calls := s.workload.calls()
			sim := newSimulation(policyCore, s.workload.minions, s.workload.entries, settings, s.rules)
			if s.change != nil {
				s.change(sim, calls)
			}
			assert.Equal(t, !disabled, s.holds(sim, sim.run(calls)), "%s; disabled: %v", s.name, disabled)
		}
	}
}

// Guards against retries and hedges that amplify an overload.
func TestBudgetsBoundRetriesAndHedges(t *testing.T) {
	const requests = 1000
	for _, s := range []struct {
		share  float64
		within bool
	}{{DefaultSettings().RetryShare, true}, {1000, false}} {
		c, now := singleEntryCore(4, func(settings *Settings) {
			settings.RetryShare, settings.HedgeShare = s.share, s.share
			settings.Eject.Enabled = false
		})
		retries, hedges := 0, 0
		for id := RequestID(1); id <= requests; id++ {
			first := c.Arrive(Request{ID: id, Service: "s", Idempotent: true}, now, nil)[0]
			for _, a := range c.Hedge(id, now, nil) {
				require.NotEqual(t, first.Minion, a.Minion)
				hedges++
				c.Done(Completion{Request: id, Minion: a.Minion, Result: oleanderline.ResultNotRun, Failed: true}, now, nil)
			}
			c.Done(Completion{Request: id, Minion: first.Minion, Result: oleanderline.ResultNotRun, Failed: true}, now, nil)
			if a := c.Retry(id, now, nil)[0]; a.Kind == ActionSend {
				retries++
				require.NotEqual(t, first.Minion, a.Minion)
				c.Done(Completion{Request: id, Minion: a.Minion, Result: oleanderline.ResultAnswered}, now, nil)
			}
		}
		bound := DefaultSettings().RetryShare*requests + DefaultSettings().BudgetBurst
		require.Equal(t, s.within, float64(retries) <= bound, "%d retries", retries)
		require.Equal(t, s.within, float64(hedges) <= bound, "%d hedges", hedges)
		require.Empty(t, c.requests)
	}
}
