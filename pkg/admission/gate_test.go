package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against a node that accepts more than its share while the leader refuses jobs, or less, and against one that refuses a job that the
// leader accepts.
func TestAdmit(t *testing.T) {
	const share, part, tasks = 10.0, 10.0 / guaranteedShare, 5
	for _, s := range []struct {
		name    string
		before  func(g *Gate)
		refused bool
		part    float64
		want    bool
	}{
		{"not refused", func(*Gate) {}, false, part, true},
		{"not refused after more than the share", func(g *Gate) { g.Admit(1000, false, part, start) }, false, part, true},
		{"refused at first", func(*Gate) {}, true, part, false},
		{"refused after a time without jobs", func(g *Gate) { g.Admit(0, false, part, start.Add(-time.Second)) }, true, part, true},
		{"refused after the share was used", func(g *Gate) { g.Admit(15, false, part, start.Add(-time.Second)) }, true, part, false},
		{"refused while the rate is not known", func(g *Gate) { g.Admit(0, false, 0, start.Add(-time.Second)) }, true, 0, false},
		{"refused after the credit has grown for long", func(g *Gate) {
			g.Admit(0, false, part, start.Add(-time.Hour))
			require.True(t, g.Admit(int(share*maxCredit.Seconds()), true, part, start))
		}, true, part, false},
		{"refused a while after a large job", func(g *Gate) { g.Admit(1_000_000, false, part, start.Add(-maxDebt-time.Second)) }, true, part, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			var g Gate
			s.before(&g)
			require.Equal(t, s.want, g.Admit(tasks, s.refused, s.part, start))
		})
	}
}

// Guards against callers that are asked to return before those that were refused earlier, all at once, or so late that the backlog is long
// gone.
func TestTurns(t *testing.T) {
	const wait, part, tasks = 2 * time.Second, 10.0, 5
	var g Gate
	require.Equal(t, wait, g.Turn(tasks, wait, part, start))
	last := wait
	for range 3 {
		turn := g.Turn(tasks, wait, part, start)
		require.Equal(t, last+500*time.Millisecond, turn)
		last = turn
	}
	require.Equal(t, wait, g.Turn(tasks, wait, part, start.Add(time.Minute)), "the earlier turns are over")
	for range 1000 {
		require.LessOrEqual(t, g.Turn(tasks, wait, part, start.Add(time.Minute)), maxTurn)
	}
	require.Equal(t, wait, g.Turn(tasks, wait, 0, start), "the rate of starts is not known")
}
