package burn

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newTestCounter(services ...oleanderline.ServiceID) *Counter {
	set := &rules.Set{}
	for _, s := range services {
		set.Objectives = append(set.Objectives, rules.Objective{Service: s, Latency: 80 * time.Millisecond, Target: 0.999})
	}
	c := NewCounter()
	c.SetRules(set)
	return c
}

// Guards against buckets that lose, double or misplace counts, by comparison with a list of all requests.
func TestCounterAgreesWithAListOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCounter("s")
		now := start
		type request struct {
			at  time.Time
			bad bool
		}
		var all []request
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			interval := rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute, 7 * time.Minute, time.Hour, 30 * time.Hour, 80 * time.Hour})
			now = now.Add(interval.Draw(t, "pause"))
			sample := Sample{Service: "s", Minion: "m", Latency: 80 * time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")}
			c.Record(sample, now)
			all = append(all, request{now, sample.Failed})
		}
		s := c.Snapshot(now).Services[0]
		for w := range windows {
			l := levels[w/2]
			n := []int{l.longBuckets, l.shortBuckets}[w%2]
			oldest := now.Truncate(l.bucketWidth).Add(-time.Duration(n-1) * l.bucketWidth)
			var want Count
			for _, r := range all {
				switch {
				case r.at.Before(oldest):
				case r.bad:
					want.Bad++
				default:
					want.Good++
				}
			}
			require.Equal(t, want, s.Counts[w], "window %s", w)
			for _, p := range s.Parts {
				require.Equal(t, want, p.Counts[w], "%s %s", p.Dimension, p.Name)
			}
		}
	})
}

// Guards against a counter whose memory grows without limit with the number of minions, or that loses the counts of parts
// beyond its limit.
func TestCounterIsBounded(t *testing.T) {
	c := newTestCounter("s")
	const minions = 3 * maxSeries
	for i := range minions {
		c.Record(Sample{Service: "s", Minion: oleanderline.MinionID(fmt.Sprint(i)), Failed: true}, start)
		c.Record(Sample{Service: "unknown"}, start)
	}
	require.LessOrEqual(t, len(c.series), maxSeries+3)
	var sum Count
	for _, p := range c.Snapshot(start).Services[0].Parts {
		if p.Dimension == ByMinion {
			sum = sum.Add(p.Counts[Window1h])
		}
	}
	require.Equal(t, Count{Bad: minions}, sum)
	later := start.Add(100 * time.Hour)
	c.Record(Sample{Service: "s", Minion: "new"}, later)
	require.Less(t, len(c.series), 10)
}

// Guards against a report that names the wrong source of bad requests, raises no alert during an ongoing fault, or omits an
// entry that could not be read.
func TestReportOfSeveralEntries(t *testing.T) {
	first, second := newTestCounter("s"), newTestCounter("s", "idle")
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Second)
		first.Record(Sample{Service: "s", Class: "confirm", Minion: "m-1", Domain: "d-1", Latency: time.Millisecond}, now)
		slow := Sample{Service: "s", Class: "search", Minion: "m-2", Domain: "d-2", Latency: time.Millisecond}
		if i%20 == 0 {
			slow.Latency = time.Second
		}
		second.Record(slow, now)
	}
	end := start.Add(1000 * time.Second)
	merged := Merge([]Snapshot{second.Snapshot(end), first.Snapshot(end)})
	report := NewReport(merged, []string{"10.0.0.3:7300: no answer"})
	require.Len(t, report.Services, 2)
	require.Equal(t, 1.0, report.Services[0].Left, "a service without requests has its full budget")
	s := report.Services[1]
	require.Equal(t, Count{Good: 1950, Bad: 50}, s.Rates[Window1h].Count)
	require.InDelta(t, 25, s.Rates[Window1h].Rate, 1e-9)
	require.InDelta(t, -24, s.Left, 1e-9)
	require.Equal(t, AlertPage, s.Alert)
	require.Equal(t, []Source{
		{ByDomain, "d-2", 1, 0.05},
		{ByMinion, "m-2", 1, 0.05},
		{ByClass, "search", 1, 0.05},
	}, s.Sources)
	var out bytes.Buffer
	require.NoError(t, WritePage(&out, "all <entries>", report))
	require.Contains(t, out.String(), "10.0.0.3:7300: no answer")
	require.Contains(t, out.String(), "all &lt;entries&gt;")
	require.Contains(t, out.String(), "<rect")
	require.NotContains(t, out.String(), "http", "the page loads no external resources")
}

// Measures the cost of counting one request, with 65 minions.
func BenchmarkRecord(b *testing.B) {
	c := newTestCounter("s")
	minions := make([]oleanderline.MinionID, 65)
	for i := range minions {
		minions[i] = oleanderline.MinionID(fmt.Sprintf("minion-%d", i))
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c.Record(Sample{Service: "s", Class: "confirm", Minion: minions[i%len(minions)], Domain: "d-1", Latency: time.Millisecond}, now)
	}
}
