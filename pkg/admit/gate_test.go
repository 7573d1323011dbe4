package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline/pkg/rules"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const objective = 80 * time.Millisecond

// Guards against a queue that serves stale requests first, and so answers none in time once its delay is too long.
func TestNewestFirstAboveTheObjective(t *testing.T) {
	for _, s := range []struct {
		newest bool
		age    time.Duration
		want   uint64
	}{
		{true, objective, 1},
		{true, objective + 1, 2},
		{false, objective + 1, 1},
	} {
		settings := DefaultSettings()
		settings.NewestFirst = s.newest
		g := NewGate(settings)
		g.SetObjective(objective)
		g.Push(&Item{ID: 1, Priority: rules.PriorityNormal, Arrived: start})
		g.Push(&Item{ID: 2, Priority: rules.PriorityNormal, Arrived: start.Add(s.age)})
		require.Equal(t, s.want, g.Next(Room{Slots: 8}, start.Add(s.age)).ID, "%+v", s)
	}
}

// Guards against a lower priority that goes first, a long request that takes the last slots, a lost or doubled request,
// and a queue above its bound.
func TestGateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate(DefaultSettings())
		waiting := map[uint64]*Item{}
		room := Room{Slots: rapid.IntRange(2, 64).Draw(t, "slots")}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "items")) {
			i := &Item{ID: id, Long: rapid.Bool().Draw(t, "long"), Arrived: start, Expected: time.Millisecond}
			i.Priority = rules.Priority(rapid.IntRange(1, 3).Draw(t, "priority"))
			if g.Admit(i, room, start) == VerdictWait {
				g.Push(i)
				waiting[id] = i
			}
			if rapid.IntRange(0, 2).Draw(t, "serve") == 0 {
				serveOne(t, g, &room, waiting)
			}
			require.Equal(t, len(waiting), g.Len())
			require.LessOrEqual(t, g.Len(), DefaultSettings().Bound)
		}
	})
}

func serveOne(t *rapid.T, g *Gate, room *Room, waiting map[uint64]*Item) {
	next := g.Next(*room, start)
	if next == nil {
		short, _ := g.Waiting()
		require.Zero(t, short, "short requests may use every slot")
		return
	}
	require.Same(t, waiting[next.ID], next)
	for _, other := range waiting {
		if other.Long == next.Long {
			require.LessOrEqual(t, other.Priority, next.Priority)
		}
	}
	g.Remove(next)
	delete(waiting, next.ID)
	if !next.Long {
		room.Short++
		return
	}
	room.Long++
	require.Less(t, room.Long, room.Slots, "long requests must leave a slot")
}

// Guards against long requests without a rule that are taken for short ones, or short ones for long.
func TestClassesLearnLength(t *testing.T) {
	c := NewClasses(time.Millisecond)
	short, long := c.Get("short"), c.Get("long")
	for i := range 400 {
		c.Observe(short, 10*time.Millisecond)
		if i%10 == 0 {
			c.Observe(long, 200*time.Millisecond)
		}
	}
	require.False(t, c.Long(short))
	require.True(t, c.Long(long))
	require.Equal(t, 10*time.Millisecond, c.Expected(short).Round(time.Millisecond))
	require.Equal(t, 200*time.Millisecond, c.Expected(long).Round(time.Millisecond))
	require.Equal(t, 10*time.Millisecond, c.Straggles(short).Round(time.Millisecond), "no spread, no allowance")
}
