package dispatch

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

var writeTraces = flag.Bool("write-traces", false, "write the calls and faults of the traces again, from their seed")

// traceLine is one line of a trace: the numbers of minions and entries (first line), a call, a fault of a minion or an
// expected outcome. Times are in microseconds since the start.
type traceLine struct {
	Minions int   `json:"minions,omitempty"`
	Entries int   `json:"entries,omitempty"`
	Latency int64 `json:"latency,omitempty"` // objective of the slo rule
	Limit   int64 `json:"limit,omitempty"`   // from the arrival of each call to its deadline

	At    int64 `json:"at,omitempty"`
	Run   int64 `json:"run,omitempty"`
	Entry int   `json:"entry,omitempty"`

	Fault  string `json:"fault,omitempty"` // "silent" or "none", of a minion
	Minion int    `json:"minion,omitempty"`

	Expect    string  `json:"expect,omitempty"`
	From      int64   `json:"from,omitempty"`
	Until     int64   `json:"until,omitempty"`
	BaseFrom  int64   `json:"basefrom,omitempty"`
	BaseUntil int64   `json:"baseuntil,omitempty"`
	Min       float64 `json:"min,omitempty"`
	Max       float64 `json:"max,omitempty"`
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func between(results []result, from, until int64) (selected []result) {
	for _, r := range results {
		if r.arrivesAt >= micros(from) && r.arrivesAt < micros(until) {
			selected = append(selected, r)
		}
	}
	return selected
}

func answers(results []result) (times []time.Duration) {
	for _, r := range results {
		if r.answered {
			times = append(times, r.elapsed)
		}
	}
	return times
}

// measure returns the measured value of an expected outcome.
func (l traceLine) measure(results []result, slots int) float64 {
	selected := between(results, l.From, l.Until)
	count := func(match func(result) bool) (n float64) {
		for _, r := range selected {
			if match(r) {
				n++
			}
		}
		return n
	}
	switch l.Expect {
	case "in time, part of what the slots allow":
		var work time.Duration
		for _, r := range selected {
			work += r.runTime
		}
		mean := work / time.Duration(len(selected))
		allowed := float64(slots) * float64(micros(l.Until-l.From)) / float64(mean)
		return count(func(r result) bool { return r.answered && r.elapsed <= r.timeout }) / allowed
	case "in time, part of the calls that are short enough":
		return inTimeShare(selected, 0)
	case "refusal p99 in ms":
		var times []time.Duration
		for _, r := range selected {
			if !r.answered && r.reason != "" {
				times = append(times, r.elapsed)
			}
		}
		return millis(percentile(times, 0.99))
	case "p99 of answers, multiple of the base":
		base := percentile(answers(between(results, l.BaseFrom, l.BaseUntil)), 0.99)
		return float64(percentile(answers(selected), 0.99)) / float64(base)
	case "calls without an answer":
		return count(func(r result) bool { return !r.answered && r.reason == "" })
	default:
		panic("unknown outcome: " + l.Expect)
	}
}

// replay runs a trace and returns the results and the expected outcomes.
func replay(t *testing.T, lines []traceLine, settings Settings) (sim *simulation, results []result, outcomes []traceLine) {
	head := lines[0]
	require.Positive(t, head.Minions)
	set := &rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: micros(head.Latency)}}}
	sim = newSimulation(policyCore, head.Minions, head.Entries, settings, set)
	var calls []call
	for _, l := range lines[1:] {
		switch {
		case l.Expect != "":
			outcomes = append(outcomes, l)
		case l.Fault != "":
			sim.after(micros(l.At), func() { sim.minions[l.Minion].silent = l.Fault == "silent" })
		default:
			c := call{arrivesAt: micros(l.At), runTime: micros(l.Run), entry: l.Entry, timeout: micros(head.Limit), class: "short"}
			calls = append(calls, c)
		}
	}
	return sim, sim.run(calls), outcomes
}

func readTrace(t *testing.T, path string) (lines []traceLine) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var l traceLine
		require.NoError(t, decoder.Decode(&l))
		lines = append(lines, l)
	}
	return lines
}

// Guards against a change of the dispatch decisions that loses answers during a demand peak, after a burst of stragglers
// or while the connections to a minion are silent. The bounds come from the targets in docs/design.md.
func TestTracesMeetTheirOutcomes(t *testing.T) {
	if *writeTraces {
		recordTraces(t)
	}
	paths, err := filepath.Glob("testdata/*.jsonl")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			lines := readTrace(t, path)
			sim, results, outcomes := replay(t, lines, DefaultSettings())
			require.NotEmpty(t, outcomes)
			require.Zero(t, sim.overcommits, "calls sent to a minion without a free slot")
			for _, o := range outcomes {
				got := o.measure(results, lines[0].Minions*8)
				t.Logf("%s, %v to %v: %.3f", o.Expect, micros(o.From), micros(o.Until), got)
				if o.Min > 0 {
					require.GreaterOrEqual(t, got, o.Min, o.Expect)
				} else {
					require.LessOrEqual(t, got, o.Max, o.Expect)
				}
			}
		})
	}
}
