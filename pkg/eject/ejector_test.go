package eject

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against the ejection of more than a third of the minions, and against a minion that stays ejected after a
// successful probe.
func TestEjectorNeverEjectsMoreThanAThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minions := make([]Minion, rapid.IntRange(1, 12).Draw(t, "minions"))
		e := New(DefaultSettings())
		for range minions {
			e.Add()
		}
		now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			m := &minions[rapid.IntRange(0, len(minions)-1).Draw(t, "minion")]
			now = now.Add(50 * time.Millisecond)
			if e.ProbeDue(m, now) {
				ok := rapid.Bool().Draw(t, "ok")
				require.Equal(t, ok, e.HandleProbeResult(m, ok, now))
				require.Equal(t, !ok, m.Ejected())
				continue
			}
			e.Observe(m, rapid.IntRange(0, 3).Draw(t, "failed") > 0, 0, now)
			ejected := 0
			for i := range minions {
				if minions[i].Ejected() {
					ejected++
				}
			}
			require.LessOrEqual(t, 3*ejected, len(minions))
		}
	})
}

// Guards against slow or failing minions that are not ejected, and against the ejection of healthy ones.
func TestEjectorReasons(t *testing.T) {
	for _, s := range []struct {
		name   string
		failed func(int) bool
		ratio  float64
		want   bool
	}{
		{"healthy", func(int) bool { return false }, 1, false},
		{"slow", func(int) bool { return false }, 20, true},
		{"a fifth fails", func(i int) bool { return i%5 == 0 }, 1, false},
		{"two of three fail", func(i int) bool { return i%3 > 0 }, 1, true},
		{"three consecutive failures", func(i int) bool { return i < 3 }, 1, true},
	} {
		e := New(DefaultSettings())
		for range 3 {
			e.Add()
		}
		m := &Minion{}
		for i := range 60 {
			e.Observe(m, s.failed(i), math.Log(s.ratio), time.Time{})
		}
		require.Equal(t, s.want, m.Ejected(), s.name)
	}
}
