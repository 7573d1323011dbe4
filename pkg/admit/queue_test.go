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

// Guards against a queue that keeps sending the oldest requests first once the queueing delay is above the objective, so
// that no request is answered in time.
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
		q := NewQueue(settings)
		q.SetObjective(objective)
		q.Push(&Item{ID: 1, Priority: rules.PriorityNormal, Arrived: start})
		q.Push(&Item{ID: 2, Priority: rules.PriorityNormal, Arrived: start.Add(s.age)})
		require.Equal(t, s.want, q.Next(SlotUsage{Slots: 8}, start.Add(s.age)).ID, "%+v", s)
	}
}

// Guards against requests of lower priority that run first, a long request in the last slot, lost or duplicated requests,
// and a queue longer than its limit.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(DefaultSettings())
		waiting := map[uint64]*Item{}
		usage := SlotUsage{Slots: rapid.IntRange(2, 64).Draw(t, "slots")}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "items")) {
			i := &Item{ID: id, Long: rapid.Bool().Draw(t, "long"), Arrived: start, Expected: time.Millisecond}
			i.Priority = rules.Priority(rapid.IntRange(1, 3).Draw(t, "priority"))
			if q.Admit(i, usage, start) == VerdictWait {
				q.Push(i)
				waiting[id] = i
			}
			if rapid.IntRange(0, 2).Draw(t, "serve") == 0 {
				dispatchOne(t, q, &usage, waiting)
			}
			require.Equal(t, len(waiting), q.Len())
			require.LessOrEqual(t, q.Len(), DefaultSettings().MaxQueued)
		}
	})
}

// dispatchOne removes the next request from the queue, if one may run, and checks that it was chosen correctly.
func dispatchOne(t *rapid.T, q *Queue, usage *SlotUsage, waiting map[uint64]*Item) {
	next := q.Next(*usage, start)
	if next == nil {
		short, _ := q.Waiting()
		require.Zero(t, short, "short requests may use every slot")
		return
	}
	require.Same(t, waiting[next.ID], next)
	for _, other := range waiting {
		if other.Long == next.Long {
			require.LessOrEqual(t, other.Priority, next.Priority)
		}
	}
	q.Remove(next)
	delete(waiting, next.ID)
	if !next.Long {
		usage.Short++
		return
	}
	usage.Long++
	require.Less(t, usage.Long, usage.Slots, "long requests must leave a slot")
}

// Guards against classes without a rule that are classified as short although they are long, or the reverse.
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
	require.Equal(t, 10*time.Millisecond, c.StragglerThreshold(short).Round(time.Millisecond), "without deviation, it is the typical run time")
}
