package bodybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
)

const testGrace = time.Second

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a budget that is exceeded, and against a body that overtakes one that has waited longer.
func TestBodiesWaitInOrder(t *testing.T) {
	b := New(100, testGrace)
	first, result := b.Add(60, at(0))
	require.Equal(t, Admitted, result)
	second, result := b.Add(60, at(0))
	require.Equal(t, Waiting, result)
	third, result := b.Add(10, at(0))
	require.Equal(t, Waiting, result, "it would fit, but another body waits")
	require.Equal(t, []ID{second, third}, b.Remove(first, at(0)))
	require.Equal(t, oleanderline.ByteCount(70), b.Used())
}

// Guards against bodies that wait without limit, each with bytes that the kernel holds unread.
func TestTooManyDoNotWait(t *testing.T) {
	const total = 100 * unreadCost
	b := New(total, testGrace)
	first, _ := b.Add(total, at(0))
	for range total / unreadCost {
		_, result := b.Add(1, at(0))
		require.Equal(t, Waiting, result)
	}
	_, result := b.Add(1, at(0))
	require.Equal(t, Refused, result)
	require.Len(t, b.Remove(first, at(0)), total/unreadCost)
}

// Guards against a body that waits for ever because it is larger than the budget, for example after the budget was reduced.
func TestABodyAboveTheTotalIsAdmittedAlone(t *testing.T) {
	b := New(100, testGrace)
	first, _ := b.Add(10, at(0))
	second, result := b.Add(101, at(0))
	require.Equal(t, Waiting, result)
	require.Equal(t, []ID{second}, b.Remove(first, at(0)))
}

// Guards against the eviction of a body that arrives in time, and against one of a new or small body while an old, large one is stalled.
func TestTheLargestAndOldestGivesWay(t *testing.T) {
	for _, s := range []struct {
		name  string
		sizes []oleanderline.ByteCount
		since []float64
		now   float64
		want  int // index; -1: none
	}{
		{"nobody waits", []oleanderline.ByteCount{50}, []float64{0}, 9, -1},
		{"all within the grace period", []oleanderline.ByteCount{50, 50, 50}, []float64{0, 0, 0}, 0.9, -1},
		{"the oldest of equal size", []oleanderline.ByteCount{50, 50, 50}, []float64{0.2, 0, 0.3}, 1.5, 1},
		{"the largest of equal age", []oleanderline.ByteCount{20, 80, 50}, []float64{0, 0, 0}, 1.5, 1},
		{"a large one rather than an older, tiny one", []oleanderline.ByteCount{1, 99, 50}, []float64{0, 4, 5}, 6, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			b := New(100, testGrace)
			var ids []ID
			for i, size := range s.sizes {
				id, _ := b.Add(size, at(s.since[i]))
				ids = append(ids, id)
			}
			id, found := b.Evict(at(s.now))
			require.Equal(t, s.want >= 0, found)
			if found {
				require.Equal(t, ids[s.want], id)
				require.False(t, b.Complete(id), "the evicted body is not processed")
			}
		})
	}
}

// Guards against the eviction of more bodies than are needed, and of one that has been received completely.
func TestEvictionStopsWhenEnoughBecomesFree(t *testing.T) {
	b := New(100, testGrace)
	for range 5 {
		_, result := b.Add(20, at(0))
		require.Equal(t, Admitted, result)
	}
	complete, _ := ID(1), b.Complete(1)
	_, result := b.Add(30, at(0))
	require.Equal(t, Waiting, result)
	due, found := b.NextEviction()
	require.True(t, found)
	require.Equal(t, at(testGrace.Seconds()), due)
	var evicted []ID
	for range 5 {
		if id, found := b.Evict(at(2)); found {
			evicted = append(evicted, id)
		}
	}
	require.Len(t, evicted, 2)
	require.NotContains(t, evicted, complete)
}

// Guards against a sum above the total, memory that is lost, and a body that is admitted twice or never, under any sequence of calls.
func TestTheSumStaysWithinTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := oleanderline.ByteCount(rapid.IntRange(1, 200).Draw(t, "total"))
		b, now := New(total, testGrace), start
		held, waiting := map[ID]oleanderline.ByteCount{}, map[ID]oleanderline.ByteCount{}
		remove := func(id ID) {
			delete(held, id)
			delete(waiting, id)
			for _, admitted := range b.Remove(id, now) {
				require.Contains(t, waiting, admitted)
				held[admitted] = waiting[admitted]
				delete(waiting, admitted)
			}
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				size := oleanderline.ByteCount(rapid.IntRange(1, int(total)).Draw(t, "size"))
				switch id, result := b.Add(size, now); result {
				case Admitted:
					held[id] = size
				case Waiting:
					waiting[id] = size
				case Refused:
					require.Len(t, waiting, minWaiting)
				}
			case 2:
				if id, found := b.Evict(now); found {
					require.NotEmpty(t, waiting)
					remove(id)
				}
			case 3:
				for id := range held {
					remove(id)
					break
				}
			}
			var sum oleanderline.ByteCount
			for _, size := range held {
				sum += size
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, total)
			require.Equal(t, len(waiting), b.Waiting())
		}
		for len(held) > 0 {
			for id := range held {
				remove(id)
				break
			}
		}
		require.Empty(t, waiting, "a body waits although the memory is free")
	})
}
