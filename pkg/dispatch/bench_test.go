package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// latencies returns the times of the answers to calls of a class that arrived after warm-up.
func latencies(results []result, class string, warmUp time.Duration) (times []time.Duration, refused float64) {
	all := 0
	for _, r := range results {
		if r.at < warmUp || r.class != class {
			continue
		}
		all++
		if r.answered {
			times = append(times, r.took)
		}
	}
	return times, 1 - float64(len(times))/float64(all)
}

var policyNames = []string{"core", "random", "least"}

// BenchmarkTail measures the 99th percentile at 90% load against two baselines with the same calls, as the worst ratio of
// three seeds; the times are those of the last seed. The queue bound is so high that nothing is refused, because a refusal
// would take a slow call out of the figure. Without any waiting, the 99th percentile is floor-ms.
func BenchmarkTail(b *testing.B) {
	settings := DefaultSettings()
	settings.Admit.Bound = 1 << 16
	for _, minions := range []int{50, 65} {
		b.Run(fmt.Sprintf("minions=%d/entries=7", minions), func(b *testing.B) {
			l := workload{minions: minions, entries: 7, length: 40 * time.Second, load: constant(0.9)}
			for range b.N {
				var worst [3]float64
				for l.seed = range 3 {
					p99 := tail(b, l, settings)
					for p := range worst {
						worst[p] = max(worst[p], float64(p99[policyCore])/float64(p99[p]))
					}
				}
				b.ReportMetric(worst[policyRandom], "core/random")
				b.ReportMetric(worst[policyLeast], "core/least")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func tail(b *testing.B, l workload, settings Settings) (p99 [3]time.Duration) {
	for p, name := range policyNames {
		w := newWorld(policy(p), l.minions, l.entries, settings, &rules.Set{})
		results := w.run(l.calls())
		times, refused := latencies(results, "short", warmUp)
		p99[p] = percentile(times, 0.99)
		b.ReportMetric(millis(p99[p]), name+"-p99-ms")
		b.ReportMetric(100*refused, name+"-refused-%")
		if p == int(policyCore) {
			b.ReportMetric(millis(floor(results)), "floor-ms")
			b.ReportMetric(float64(w.over), "overcommits")
			b.ReportMetric(float64(w.loans)/l.length.Seconds(), "loans/s")
		}
	}
	return p99
}

const warmUp = 5 * time.Second

func floor(results []result) time.Duration {
	var runs []time.Duration
	for _, r := range results {
		if r.at >= warmUp {
			runs = append(runs, r.run+2*toMinion)
		}
	}
	return percentile(runs, 0.99)
}

// BenchmarkHedge measures the 99th percentile of idempotent calls at 90% load, if a second copy of a straggler is most
// likely none.
func BenchmarkHedge(b *testing.B) {
	l := workload{minions: 50, entries: 7, length: 60 * time.Second, load: constant(0.9)}
	for range b.N {
		for _, name := range []string{"hedged", "unhedged"} {
			w := newWorld(policyCore, l.minions, l.entries, DefaultSettings(), &rules.Set{})
			w.hedging = name == "hedged"
			calls := l.calls()
			times, refused := latencies(w.run(calls), "short", warmUp)
			sends := 0
			for _, n := range w.sends {
				sends += n
			}
			b.ReportMetric(millis(percentile(times, 0.99)), name+"-p99-ms")
			b.ReportMetric(100*refused, name+"-refused-%")
			b.ReportMetric(100*float64(sends)/float64(len(calls))-100, name+"-more-sends-%")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkEntryLost measures how long after the crash of one of 7 entries the 99th percentile of windows of 250 ms is
// above 1.5 times that of before. Peers see the crash after 1 s.
func BenchmarkEntryLost(b *testing.B) {
	const crash, window = 10 * time.Second, 250 * time.Millisecond
	l := workload{minions: 50, entries: 7, length: 20 * time.Second, load: constant(0.9), limit: time.Second}
	for range b.N {
		w := newWorld(policyCore, l.minions, l.entries, DefaultSettings(), peakRules)
		w.after(crash, func() { w.crash(0) })
		results := w.run(l.calls())
		us := func(d time.Duration) int64 { return d.Microseconds() }
		before := percentile(answers(between(results, us(warmUp), us(crash))), 0.99)
		recovered, worst := time.Duration(0), time.Duration(0)
		for from := crash; from < l.length; from += window {
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
		b.ReportMetric(float64(w.over), "overcommits")
	}
	b.ReportMetric(0, "ns/op")
}

// peak is 150% of the capacity for 10 s.
var peak = workload{
	minions: 50, entries: 7, length: 20 * time.Second, limit: 500 * time.Millisecond,
	load: func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 15*time.Second {
			return 1.5
		}
		return 0.8
	},
}

// peakRules give the service an objective, as both users have.
var peakRules = &rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: 80 * time.Millisecond, Target: 0.999}}}

// inPeak returns the calls of the peak that were answered in time, as part of what the slots allow, and how long the
// refused ones waited for the refusal.
func inPeak(results []result) (inTime float64, refusals []time.Duration) {
	const length = 10 * time.Second
	var work time.Duration
	inPeak := between(results, 5*second, 15*second)
	for _, r := range inPeak {
		work += r.run
		if r.answered && r.took <= r.limit {
			inTime++
		}
		if !r.answered {
			refusals = append(refusals, r.took)
		}
	}
	allowed := float64(peak.minions*8) * float64(length) / (float64(work) / float64(len(inPeak)))
	return inTime / allowed, refusals
}

// BenchmarkPeak measures the answers in time and the refusals while the demand is 150% for 10 s.
func BenchmarkPeak(b *testing.B) {
	for range b.N {
		var share [3]float64
		for p, name := range policyNames {
			w := newWorld(policy(p), peak.minions, peak.entries, DefaultSettings(), peakRules)
			inTime, refusals := inPeak(w.run(peak.calls()))
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

// BenchmarkShortBesideLong measures short calls beside long ones, which no rule declares. The long calls hold 30% of the
// work; in the second case they alone ask for more than the short ones leave.
func BenchmarkShortBesideLong(b *testing.B) {
	for _, c := range []struct{ load, long float64 }{{0.95, 0.3}, {1.3, 0.6}} {
		b.Run(fmt.Sprintf("load=%v/long=%v", c.load, c.long), func(b *testing.B) {
			l := workload{minions: 65, entries: 7, length: 60 * time.Second, load: constant(c.load), long: c.long}
			for range b.N {
				for p, name := range append(policyNames, "core-without-lanes") {
					besideAndAlone(b, l, policy(p%len(policyNames)), name)
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func besideAndAlone(b *testing.B, l workload, p policy, name string) {
	settings := DefaultSettings()
	settings.Admit.Lanes = name != "core-without-lanes"
	var p99 [2]time.Duration
	for i, alone := range []bool{false, true} {
		l.shortOnly = alone
		results := newWorld(p, l.minions, l.entries, settings, &rules.Set{}).run(l.calls())
		times, refused := latencies(results, "short", warmUp)
		p99[i] = percentile(times, 0.99)
		if !alone {
			b.ReportMetric(100*refused, name+"-short-refused-%")
			times, _ := latencies(results, "long", warmUp)
			b.ReportMetric(float64(len(times))/l.length.Seconds(), name+"-long/s")
		}
	}
	b.ReportMetric(millis(p99[0]), name+"-beside-ms")
	b.ReportMetric(millis(p99[1]), name+"-alone-ms")
	b.ReportMetric(float64(p99[0])/float64(p99[1]), name+"-beside/alone")
}

// steadyCore returns a core that is the only entry, with half of its slots busy.
func steadyCore(minions int) (*Core, time.Time, RequestID) {
	c, now := loneCore(minions, nil)
	id := RequestID(0)
	for range minions {
		id++
		c.Arrive(Request{ID: id, Service: "s"}, now, nil)
	}
	return c, now, id
}

// BenchmarkChoice measures the choice of a minion alone.
func BenchmarkChoice(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, _, _ := steadyCore(minions)
			picker := c.services["s"].picker
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(-1)
			}
		})
	}
}

// BenchmarkArriveAndDone measures all decisions for one request: arrival, admission, choice and end.
func BenchmarkArriveAndDone(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, now, id := steadyCore(minions)
			actions := make([]Action, 0, 8)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				actions = c.Arrive(Request{ID: id, Service: "s", Class: "x"}, now, actions[:0])
				finish := Finish{Request: id, Minion: actions[0].Minion, Result: oleanderline.ResultAnswered, Latency: meanRun}
				actions = c.Done(finish, now, actions[:0])
			}
		})
	}
}

// BenchmarkEntries measures the processor time of all decisions for one call, loans and heartbeats included, by the
// number of entries. The event queue of the benchmark is part of the time.
func BenchmarkEntries(b *testing.B) {
	for _, entries := range []int{3, 7, 20} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l := workload{minions: 65, entries: entries, length: 10 * time.Second, load: constant(0.9)}
			calls := l.calls()
			for range b.N {
				b.StopTimer()
				w := newWorld(policyCore, 65, entries, DefaultSettings(), &rules.Set{})
				b.StartTimer()
				times, refused := latencies(w.run(calls), "short", warmUp)
				b.ReportMetric(millis(percentile(times, 0.99)), "p99-ms")
				b.ReportMetric(100*refused, "refused-%")
				b.ReportMetric(float64(w.loans)/l.length.Seconds(), "loans/s")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(calls)), "ns/call")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTick measures the work that does not depend on requests: a tick every 10 ms and a heartbeat with a statement.
func BenchmarkTick(b *testing.B) {
	for _, minions := range []int{50, 65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c, now, _ := steadyCore(minions)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				c.Tick(now, nil)
			}
		})
	}
}
