package speed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a worker that counts as slow because one of its tasks is long by itself, and against a slow worker that is not noticed.
func TestSlowWorkerIsToldFromALongTask(t *testing.T) {
	type scenario struct {
		name      string
		slowdowns []float64
		low, high float64
	}
	for _, s := range []scenario{
		{"nothing observed", nil, 1, 1},
		{"all normal", []float64{0.8, 1, 1.2}, 1, 1.1},
		{"one long task among normal ones", []float64{0.9, 7, 1.1}, 1, 1.2},
		{"one long and one normal task", []float64{7, 1}, 1, 1.1},
		{"all slow", []float64{5, 6, 7}, 3, 6},
		{"most are slow", []float64{1, 6, 7}, 2.5, 6},
		{"faster than others", []float64{0.4, 0.5, 0.5}, 1, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			var w Worker
			now := time.Unix(1000, 0)
			w.Observe(s.slowdowns, now)
			require.GreaterOrEqual(t, w.Slowdown(now), s.low)
			require.LessOrEqual(t, w.Slowdown(now), s.high)
		})
	}
}

// Guards against a worker that stays avoided after it has recovered: if it runs nothing, and if it runs tasks at normal speed.
func TestWorkerRecovers(t *testing.T) {
	now := time.Unix(1000, 0)
	observe := func(w *Worker, slowdown float64, times int) {
		for range times {
			w.Observe([]float64{slowdown, slowdown, slowdown}, now)
			now = now.Add(500 * time.Millisecond)
		}
	}
	var idle Worker
	observe(&idle, 7, 4)
	require.Greater(t, idle.Slowdown(now), 4.0)
	require.Less(t, idle.Slowdown(now.Add(10*halfLife)), 1.4)
	var busy Worker
	observe(&busy, 7, 4)
	observe(&busy, 1, 12)
	require.Less(t, busy.Slowdown(now), 1.4)
}

// Guards against a single run without progress that outweighs all that was observed before.
func TestOneObservationIsBounded(t *testing.T) {
	var w Worker
	now := time.Unix(1000, 0)
	w.Observe([]float64{1e9}, now)
	require.LessOrEqual(t, w.Slowdown(now), maxSlowdown)
}
