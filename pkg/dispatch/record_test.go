package dispatch

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// timeScale makes the recorded calls longer and fewer, so that the trace files stay small.
const timeScale = 3

// second is one second in the unit of traceLine.
const second = int64(time.Second / time.Microsecond)

// recordTraces generates the traces in testdata from the seed of the workload.
func recordTraces(t *testing.T) {
	const (
		inTime   = "in time, part of what the slots allow"
		short    = "in time, part of the calls that are short enough"
		refusals = "refusal p99 in ms"
		p99      = "p99 of answers, multiple of the base"
		lost     = "calls without an answer"
	)
	head := traceLine{Minions: 6, Entries: 3, Latency: 240_000, Limit: 1_500_000}
	peak := func(at time.Duration) float64 {
		if at >= 3*time.Second/timeScale && at < 13*time.Second/timeScale {
			return 1.5
		}
		return 0.8
	}
	writeTrace(t, "demand-peak", head, peak, 15, 1, nil, []traceLine{
		{Expect: inTime, From: 3 * second, Until: 13 * second, Min: 0.95},
		{Expect: refusals, Until: 15 * second, Max: 50},
	})
	// For 2 s, a tenth of the calls run 20 times longer.
	writeTrace(t, "straggler-wave", head, constant(0.7), 14, 10, nil, []traceLine{
		{Expect: short, From: 7 * second, Until: 14 * second, Min: 0.99},
		{Expect: p99, From: 7 * second, Until: 14 * second, BaseUntil: 3 * second, Max: 1.5},
		{Expect: refusals, Until: 14 * second, Max: 50},
	})
	// Each of the 8 slots may lose three calls before the ejection, and one for each late probe.
	silence := []traceLine{{At: 3 * second, Fault: "silent"}, {At: 8 * second, Fault: "none"}}
	writeTrace(t, "silent-connections", head, constant(0.7), 14, 1, silence, []traceLine{
		{Expect: lost, Until: 14 * second, Max: 24},
		{Expect: short, From: 5 * second, Until: 14 * second, Min: 0.99},
		{Expect: p99, From: 5 * second, Until: 14 * second, BaseUntil: 3 * second, Max: 1.5},
	})
}

// writeTrace writes one trace. If stragglerEvery is above 1, every stragglerEvery-th call from second 3 to second 5 is a
// straggler.
func writeTrace(
	t *testing.T, name string, head traceLine, loadAt func(time.Duration) float64, seconds int, stragglerEvery int,
	faults, outcomes []traceLine,
) {
	w := workload{minions: head.Minions, entries: head.Entries, load: loadAt}
	w.duration = time.Duration(seconds) * time.Second / timeScale
	lines := []traceLine{head}
	for i, c := range w.calls() {
		at := int64(c.arrivesAt*timeScale) / int64(time.Microsecond)
		for len(faults) > 0 && faults[0].At <= at {
			lines = append(lines, faults[0])
			faults = faults[1:]
		}
		run := int64(c.runTime*timeScale) / int64(time.Microsecond)
		if stragglerEvery > 1 && i%stragglerEvery == 0 && at >= 3*second && at < 5*second {
			run *= stragglerFactor
		}
		lines = append(lines, traceLine{At: at, Entry: c.entry, Run: run})
	}
	var data bytes.Buffer
	encoder := json.NewEncoder(&data)
	for _, line := range append(lines, outcomes...) {
		require.NoError(t, encoder.Encode(line))
	}
	require.NoError(t, os.WriteFile("testdata/"+name+".jsonl", data.Bytes(), 0o644))
}
