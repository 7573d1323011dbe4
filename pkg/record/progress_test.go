package record

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// taskCount makes steps of one to three tasks.
func taskCount(step int) int { return 1 + step%3 }

// Guards against a finished task that counts as unfinished, or the other way round, once progress is stored as ranges of steps: it would
// run again or never.
func TestProgressOfManySteps(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		const steps = 600
		var p Progress
		done := map[[2]int]bool{}
		for range 1500 {
			step := random.IntN(steps)
			index := random.IntN(taskCount(step))
			p.SetDone(step, index, taskCount(step))
			done[[2]int{step, index}] = true
			if random.IntN(100) == 0 {
				p.Compact(taskCount)
			}
		}
		encoded, err := json.Marshal(&p)
		require.NoError(t, err)
		var decoded Progress
		require.NoError(t, json.Unmarshal(encoded, &decoded))
		for step := range steps {
			for index := range taskCount(step) {
				require.Equal(t, done[[2]int{step, index}], decoded.IsDone(step, index), "seed %d, step %d, task %d", seed, step, index)
			}
		}
	}
}

// Guards against a record of a job's progress that becomes larger than the log accepts, so that each append with it is refused: with a
// bitmap for each of 19,000 occurrences it did, and nothing was recorded any more.
func TestProgressFitsIntoARecord(t *testing.T) {
	type scenario struct {
		name  string
		steps int
		count int
		done  func(step, index int) bool
		limit int // bytes
	}
	const recordLimit = 256 << 10 // of the users' store
	for _, s := range []scenario{
		{"all of 19,000 occurrences in order", 19000, 1, func(int, int) bool { return true }, 5000},
		{"every second one", 20000, 1, func(step, _ int) bool { return step%2 == 0 }, recordLimit},
		{"half of each step", 10000, 2, func(_, index int) bool { return index == 0 }, recordLimit},
		{"steps done and half done by turns", 10000, 2, func(step, index int) bool { return step%2 == 0 || index == 0 }, recordLimit},
	} {
		t.Run(s.name, func(t *testing.T) {
			p := Progress{Started: true}
			for step := range s.steps {
				for index := range s.count {
					if s.done(step, index) {
						p.SetDone(step, index, s.count)
					}
				}
			}
			rec, err := ForProgress("5c0e7a21d94b36f8", &p)
			require.NoError(t, err)
			require.Less(t, len(rec.Value), s.limit)
		})
	}
}

// Guards against the progress of a job that an earlier version has stored with a bitmap for each step, and that grows beyond a record.
func TestProgressOfAnEarlierVersionIsCompacted(t *testing.T) {
	p := Progress{Done: map[int][]byte{-1: {1}}}
	for step := range 19000 {
		p.Done[step] = []byte{1}
	}
	p.Compact(func(int) int { return 1 })
	require.LessOrEqual(t, len(p.Done), maxBitmaps)
	require.True(t, p.IsDone(18999, 0))
	require.False(t, p.IsDone(19000, 0))
	require.Equal(t, []StepRange{{-1, 19000}}, p.Full)
}
