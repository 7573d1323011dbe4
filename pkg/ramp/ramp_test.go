package ramp

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

var start = time.Unix(1000, 0)

const (
	capacity = oleanderline.Millicores(16000)
	need     = oleanderline.Millicores(2000)
)

// fill starts tasks until none is admitted, and returns how many hold CPU then.
func fill(r *Ramp, running int) int {
	for r.Admits(oleanderline.Millicores(running)*need, need) {
		running++
	}
	return running
}

// Guards against a returned worker that gets all waiting tasks at once, and against one that stays empty although it finishes what it
// gets.
func TestLoadFollowsFinishedTasks(t *testing.T) {
	r := New(capacity, 0, start)
	for _, want := range []int{2, 4, 8} {
		require.Equal(t, want == 8, r.Over(start), "the bound ends once all CPU is admitted")
		running := fill(r, 0)
		require.Equal(t, want, running)
		for range running {
			r.Finished(need)
		}
	}
}

// Guards against a worker that stays bounded without a task to prove its speed, and against one whose bound ends although it finishes
// nothing.
func TestBoundEndsInTime(t *testing.T) {
	r := New(capacity, 0, start)
	require.False(t, r.Over(start.Add(maxDuration-1)))
	require.True(t, r.Over(start.Add(maxDuration)))
}

// Guards against a worker that refuses a large task although it is idle, and against one that takes no task beside those that ran there
// when its domain returned.
func TestFirstTask(t *testing.T) {
	require.True(t, New(capacity, 0, start).Admits(0, capacity))
	r := New(capacity, 8000, start)
	require.Equal(t, 6, fill(r, 4))
}
