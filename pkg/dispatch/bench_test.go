package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencies returns the latencies of the answered calls of a class that arrived after the warm-up, and the share of
// refused ones.
func latencies(results []result, class string, warmUp time.Duration) (times []time.Duration, refused float64) {
	all := 0
	for _, r := range results {
		if r.arrivesAt < warmUp || r.class != class {
			continue
		}
		all++
		if r.answered {
			times = append(times, r.elapsed)
		}
	}
	return times, 1 - float64(len(times))/float64(all)
}

var policyNames = []string{"core", "random", "least"}

// BenchmarkTail compares the 99th percentile of the latency at 90% load with that of two baselines for the same calls. It
// reports the worst ratio of three seeds; the latencies are those of the last seed. The queue limit is so high that
// nothing is refused, because refusals would remove slow calls from the percentile. floor-ms is the 99th percentile if no
// call waited.
func BenchmarkTail(b *testing.B) {
	settings := DefaultSettings()
	settings.Admit.MaxQueued = 1 << 16
	for _, minions := range []int{50, 65} {
		b.Run(fmt.Sprintf("minions=%d/entries=7", minions), func(b *testing.B) {
			w := workload{minions: minions, entries: 7, duration: 40 * time.Second, load: constant(0.9)}
			for range b.N {
				var worst [3]float64
				for w.seed = range 3 {
					p99 := measureTail(b, w, settings)
					for p := range worst {
						worst[p] = max(worst[p], float64(p99[policyCore])/float64(p99[p]))
					}
				}
				b.ReportMetric(worst[policyRandom], "core/random")
				b.ReportMetric(worst[policyLeastLoaded], "core/least")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureTail runs the workload with every policy and returns the 99th percentiles of the latency.
func measureTail(b *testing.B, w workload, settings Settings) (p99 [3]time.Duration) {
	for p, name := range policyNames {
		sim := newSimulation(policy(p), w.minions, w.entries, settings, &rules.Set{})
		results := sim.run(w.calls())
		times, refused := latencies(results, "short", warmUp)
		p99[p] = percentile(times, 0.99)
		b.ReportMetric(millis(p99[p]), name+"-p99-ms")
		b.ReportMetric(100*refused, name+"-refused-%")
		if p == int(policyCore) {
			b.ReportMetric(millis(noWaitP99(results)), "floor-ms")
			b.ReportMetric(float64(sim.overcommits), "overcommits")
			b.ReportMetric(float64(sim.loans)/w.duration.Seconds(), "loans/s")
		}
	}
	return p99
}

// warmUp is the time at the beginning of a run that is not measured.
const warmUp = 5 * time.Second

// noWaitP99 returns the 99th percentile of the latency if no call waited for a slot.
func noWaitP99(results []result) time.Duration {
	var times []time.Duration
	for _, r := range results {
		if r.arrivesAt >= warmUp {
			times = append(times, r.runTime+2*minionDelay)
		}
	}
	return percentile(times, 0.99)
}

// BenchmarkHedge measures the 99th percentile of the latency of idempotent calls at 90% load, with and without hedging.
// The run time of a hedge is drawn anew, so it is most likely no straggler.
func BenchmarkHedge(b *testing.B) {
	w := workload{minions: 50, entries: 7, duration: 60 * time.Second, load: constant(0.9)}
	for range b.N {
		for _, name := range []string{"hedged", "unhedged"} {
			sim := newSimulation(policyCore, w.minions, w.entries, DefaultSettings(), &rules.Set{})
			sim.hedging = name == "hedged"
			calls := w.calls()
			times, refused := latencies(sim.run(calls), "short", warmUp)
			sends := 0
			for _, n := range sim.sends {
				sends += n
			}
			b.ReportMetric(millis(percentile(times, 0.99)), name+"-p99-ms")
			b.ReportMetric(100*refused, name+"-refused-%")
			b.ReportMetric(100*float64(sends)/float64(len(calls))-100, name+"-more-sends-%")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkEntryLost crashes one of 7 entries and measures how long the 99th percentile of the latency, in windows of
// 250 ms, stays above 1.5 times its value before the crash. The peers detect the crash after 1 s.
func BenchmarkEntryLost(b *testing.B) {
	const crash, window = 10 * time.Second, 250 * time.Millisecond
	w := workload{minions: 50, entries: 7, duration: 20 * time.Second, load: constant(0.9), timeout: time.Second}
	for range b.N {
		sim := newSimulation(policyCore, w.minions, w.entries, DefaultSettings(), peakRules)
		sim.after(crash, func() { sim.crash(0) })
		results := sim.run(w.calls())
		us := func(d time.Duration) int64 { return d.Microseconds() }
		before := percentile(answers(between(results, us(warmUp), us(crash))), 0.99)
		recovered, worst := time.Duration(0), time.Duration(0)
		for from := crash; from < w.duration; from += window {
			p99 := percentile(answers(between(results, us(from), us(from+window))), 0.99)
			worst = max(worst, p99)
			if p99 > before*3/2 {
				recovered = from + window - crash
			}
		}
		b.ReportMetric(millis(before), "before-p99-ms")
		b.ReportMetric(millis(worst), "worst-p99-ms")
		b.ReportMetric(recovered.Seconds(), "recovered-s")
		after := between(results, us(crash), us(crash+2*time.Second))
		b.ReportMetric(100*inTimeShare(after, 0), "in-time-%-of-2s")
		b.ReportMetric(float64(sim.overcommits), "overcommits")
	}
	b.ReportMetric(0, "ns/op")
}

// peak is a workload whose demand is 150% of the capacity for 10 s.
var peak = workload{
	minions: 50, entries: 7, duration: 20 * time.Second, timeout: 500 * time.Millisecond,
	load: func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 15*time.Second {
			return 1.5
		}
		return 0.8
	},
}

// peakRules sets a latency objective for the service, as both known deployments do.
var peakRules = &rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: 80 * time.Millisecond, Target: 0.999}}}

// peakOutcome returns the number of calls during the peak that were answered in time, as a share of the number that the
// slots can run, and the times from arrival to refusal of the refused calls.
func peakOutcome(results []result) (inTime float64, refusals []time.Duration) {
	const length = 10 * time.Second
	var work time.Duration
	during := between(results, 5*second, 15*second)
	for _, r := range during {
		work += r.runTime
		if r.answered && r.elapsed <= r.timeout {
			inTime++
		}
		if !r.answered {
			refusals = append(refusals, r.elapsed)
		}
	}
	allowed := float64(peak.minions*8) * float64(length) / (float64(work) / float64(len(during)))
	return inTime / allowed, refusals
}

// BenchmarkPeak measures the calls answered in time and the time to a refusal while the demand is 150% of the capacity
// for 10 s.
func BenchmarkPeak(b *testing.B) {
	for range b.N {
		var share [3]float64
		for p, name := range policyNames {
			sim := newSimulation(policy(p), peak.minions, peak.entries, DefaultSettings(), peakRules)
			inTime, refusals := peakOutcome(sim.run(peak.calls()))
			share[p] = inTime
			b.ReportMetric(100*inTime, name+"-in-time-%")
			b.ReportMetric(millis(percentile(refusals, 0.99)), name+"-refusal-p99-ms")
			b.ReportMetric(millis(percentile(refusals, 1)), name+"-refusal-max-ms")
		}
		b.ReportMetric(share[0]/share[1], "core/random")
		b.ReportMetric(share[0]/share[2], "core/least")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkShortBesideLong measures the latency of short calls that share the minions with long calls, which no rule
// declares. Long calls make up 30% of the work; in the second case they demand more capacity than the short calls leave.
func BenchmarkShortBesideLong(b *testing.B) {
	for _, c := range []struct{ load, long float64 }{{0.95, 0.3}, {1.3, 0.6}} {
		b.Run(fmt.Sprintf("load=%v/long=%v", c.load, c.long), func(b *testing.B) {
			w := workload{minions: 65, entries: 7, duration: 60 * time.Second, load: constant(c.load), long: c.long}
			for range b.N {
				for p, name := range append(policyNames, "core-without-lanes") {
					compareShortLatency(b, w, policy(p%len(policyNames)), name)
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// compareShortLatency reports the 99th percentile of the latency of short calls with and without long calls.
func compareShortLatency(b *testing.B, w workload, p policy, name string) {
	settings := DefaultSettings()
	settings.Admit.Lanes = name != "core-without-lanes"
	var p99 [2]time.Duration
	for i, shortOnly := range []bool{false, true} {
		w.shortOnly = shortOnly
		results := newSimulation(p, w.minions, w.entries, settings, &rules.Set{}).run(w.calls())
		times, refused := latencies(results, "short", warmUp)
		p99[i] = percentile(times, 0.99)
		if !shortOnly {
			b.ReportMetric(100*refused, name+"-short-refused-%")
			times, _ := latencies(results, "long", warmUp)
			b.ReportMetric(float64(len(times))/w.duration.Seconds(), name+"-long/s")
		}
	}
	b.ReportMetric(millis(p99[0]), name+"-beside-ms")
	b.ReportMetric(millis(p99[1]), name+"-alone-ms")
	b.ReportMetric(float64(p99[0])/float64(p99[1]), name+"-beside/alone")
}

// halfBusyCore returns the Core of a single entry, with half of its slots busy, and the last request id.
func halfBusyCore(minions int) (*Core, time.Time, RequestID) {
	c, now := singleEntryCore(minions, nil)
	id := RequestID(0)
	for range minions {
		id++
		c.Arrive(Request{ID: id, Service: "s"}, now, nil)
	}
	return c, now, id
}

// BenchmarkChoice measures only the choice of a minion.
func BenchmarkChoice(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, _, _ := halfBusyCore(minions)
			picker := c.services["s"].picker
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(-1)
			}
		})
	}
}

// BenchmarkArriveAndDone measures all decisions for one request: arrival, admission, choice of a minion and completion.
func BenchmarkArriveAndDone(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, now, id := halfBusyCore(minions)
			actions := make([]Action, 0, 8)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				actions = c.Arrive(Request{ID: id, Service: "s", Class: "x"}, now, actions[:0])
				completion := Completion{Request: id, Minion: actions[0].Minion, Result: oleanderline.ResultAnswered, Latency: meanRun}
				actions = c.Done(completion, now, actions[:0])
			}
		})
	}
}

// BenchmarkEntries measures the CPU time of all decisions for one call, including loans and heartbeats, for different
// numbers of entries. The time includes the event queue of the simulation.
func BenchmarkEntries(b *testing.B) {
	for _, entries := range []int{3, 7, 20} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			w := workload{minions: 65, entries: entries, duration: 10 * time.Second, load: constant(0.9)}
			calls := w.calls()
			for range b.N {
				b.StopTimer()
				sim := newSimulation(policyCore, 65, entries, DefaultSettings(), &rules.Set{})
				b.StartTimer()
				times, refused := latencies(sim.run(calls), "short", warmUp)
				b.ReportMetric(millis(percentile(times, 0.99)), "p99-ms")
				b.ReportMetric(100*refused, "refused-%")
				b.ReportMetric(float64(sim.loans)/w.duration.Seconds(), "loans/s")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(calls)), "ns/call")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTick measures the periodic work that does not depend on requests, one tick of 10 ms.
func BenchmarkTick(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, now, _ := halfBusyCore(minions)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				c.Tick(now, nil)
			}
		})
	}
}
