package interference_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// vm is a VM whose batch tasks are removed when they are evicted.
type vm struct {
	guard   *interference.Guard
	batch   []oleanderline.AttemptKey
	actions []interference.Kind
	actedAt time.Time
	minGap  time.Duration // shortest time between two actions
}

func newVM(settings interference.Settings) *vm {
	v := &vm{guard: interference.NewGuard(settings), minGap: time.Hour}
	for n := range 20 {
		v.batch = append(v.batch, oleanderline.AttemptKey{Task: oleanderline.TaskID(fmt.Sprintf("0-r/%d", n)), Attempt: 1})
	}
	return v
}

func (v *vm) report(measured, now time.Time, slow float64) {
	r := interference.Report{Time: measured, Worst: slow, Batch: v.batch}
	kind, _ := v.guard.Decide(r, now, func() (oleanderline.AttemptKey, bool) {
		if len(v.batch) == 0 {
			return oleanderline.AttemptKey{}, false
		}
		return v.batch[0], true
	})
	if kind == interference.Nothing {
		return
	}
	if kind == interference.Evict {
		v.batch = v.batch[1:]
	}
	if !v.actedAt.IsZero() {
		v.minGap = min(v.minGap, now.Sub(v.actedAt))
	}
	v.actedAt = now
	v.actions = append(v.actions, kind)
}

func (v *vm) evictions() (n int) {
	for _, kind := range v.actions {
		if kind == interference.Evict {
			n++
		}
	}
	return n
}

// Guards against repeated evictions while lagging reports still show the interference. For the recorded episode of 5 minutes, the
// guard must throttle once, then evict once, and afterwards at most release. Without hysteresis it must evict more often.
func TestNoiseWave(t *testing.T) {
	replay := func(settings interference.Settings) *vm {
		file, err := os.Open("testdata/noise_wave.jsonl")
		require.NoError(t, err)
		defer file.Close()
		v := newVM(settings)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var row struct {
				At   time.Duration `json:"at"`
				Lag  time.Duration `json:"lag"`
				Slow float64       `json:"slow"`
			}
			require.NoError(t, json.Unmarshal(lines.Bytes(), &row))
			v.report(start.Add(row.At-row.Lag), start.Add(row.At), row.Slow)
		}
		return v
	}
	v := replay(interference.DefaultSettings())
	require.Equal(t, []interference.Kind{interference.Throttle, interference.Evict}, v.actions[:2])
	require.Equal(t, 1, v.evictions())
	require.GreaterOrEqual(t, v.minGap, interference.DefaultSettings().Lag)
	off := interference.DefaultSettings()
	off.Disabled.Hysteresis = true
	require.Greater(t, replay(off).evictions(), 1)
	off.Disabled.All = true
	require.Empty(t, replay(off).actions)
}

// Guards against more than one eviction in an episode, for any sequence of reports, and against an action before reports can show
// the effect of the previous one.
func TestOneEvictionInAWave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := interference.DefaultSettings()
		v := newVM(settings)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "gap")) * time.Second)
			lag := time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second
			// The slowdown is never below Low, so that the episode does not end.
			v.report(now.Add(-lag), now, 1.2+2*rapid.Float64Range(0, 1).Draw(t, "slow"))
		}
		require.LessOrEqual(t, v.evictions(), 1)
		require.GreaterOrEqual(t, v.minGap, settings.Lag)
	})
}

// Guards against a model that does not learn, or that learns from an instance without batch tasks beside it, and checks the
// reported accuracy.
func TestModelLearns(t *testing.T) {
	m := interference.NewModel()
	pairs := []interference.Pair{{Critical: "counter", Batch: "route", Band: 2}}
	require.Greater(t, m.Predict(pairs), 1.0, "the prior is cautious")
	m.Learn(nil, 5)
	_, reports := m.Accuracy()
	require.Zero(t, reports)
	for range 40 {
		m.Learn(pairs, 1.8)
	}
	require.InDelta(t, 1.8, m.Predict(pairs), 0.01)
	meanError, reports := m.Accuracy()
	require.Equal(t, 40, reports)
	require.Less(t, meanError, 0.2)
	require.InDelta(t, 1.2, m.Predict([]interference.Pair{{Critical: "counter", Batch: "route", Band: 0}}), 0.001)
}
