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

// traceLine is one line of a trace: the group of VMs (first line), a call, a change of a minion, or a stated outcome.
// Times are in microseconds from the start.
type traceLine struct {
	Minions int   `json:"minions,omitempty"`
	Entries int   `json:"entries,omitempty"`
	Latency int64 `json:"latency,omitempty"` // of the slo rule
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

func between(results []result, from, until int64) (some []result) {
	for _, r := range results {
		if r.at >= micros(from) && r.at < micros(until) {
			some = append(some, r)
		}
	}
	return some
}

func answers(results []result) (times []time.Duration) {
	for _, r := range results {
		if r.answered {
			times = append(times, r.took)
		}
	}
	return times
}

// measure returns the figure that an outcome bounds.
func (l traceLine) measure(results []result, slots int) float64 {
	some := between(results, l.From, l.Until)
	count := func(match func(result) bool) (n float64) {
		for _, r := range some {
			if match(r) {
				n++
			}
		}
		return n
	}
	switch l.Expect {
	case "in time, part of what the slots allow":
		var work time.Duration
		for _, r := range some {
			work += r.run
		}
		mean := work / time.Duration(len(some))
		allowed := float64(slots) * float64(micros(l.Until-l.From)) / float64(mean)
		return count(func(r result) bool { return r.answered && r.took <= r.limit }) / allowed
	case "in time, part of the calls that are short enough":
		return inTimeShare(some, 0)
	case "refusal p99 in ms":
		var times []time.Duration
		for _, r := range some {
			if !r.answered && r.reason != "" {
				times = append(times, r.took)
			}
		}
		return millis(percentile(times, 0.99))
	case "p99 of answers, multiple of the base":
		base := percentile(answers(between(results, l.BaseFrom, l.BaseUntil)), 0.99)
		return float64(percentile(answers(some), 0.99)) / float64(base)
	case "calls without an answer":
		return count(func(r result) bool { return !r.answered && r.reason == "" })
	default:
		panic("unknown outcome: " + l.Expect)
	}
}

// replay runs a trace and returns the results and the stated outcomes.
func replay(t *testing.T, lines []traceLine, settings Settings) (w *world, results []result, outcomes []traceLine) {
	head := lines[0]
	require.Positive(t, head.Minions)
	set := &rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: micros(head.Latency)}}}
	w = newWorld(policyCore, head.Minions, head.Entries, settings, set)
	var calls []call
	for _, l := range lines[1:] {
		switch {
		case l.Expect != "":
			outcomes = append(outcomes, l)
		case l.Fault != "":
			w.after(micros(l.At), func() { w.minions[l.Minion].silent = l.Fault == "silent" })
		default:
			c := call{at: micros(l.At), run: micros(l.Run), entry: l.Entry, limit: micros(head.Limit), class: "short"}
			calls = append(calls, c)
		}
	}
	return w, w.run(calls), outcomes
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

// Guards against a change of the decisions that loses answers at a demand peak, after a wave of stragglers, or while
// connections are silent. The bounds come from the targets in docs/design.md.
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
			w, results, outcomes := replay(t, lines, DefaultSettings())
			require.NotEmpty(t, outcomes)
			require.Zero(t, w.over, "calls sent to a minion without a free slot")
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
