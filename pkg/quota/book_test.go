package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/quota"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Guards against portions whose sum is above or below the quota, and against a portion for a shard without capacity.
func TestPortionsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amounts := rapid.Int64Range(0, 1_000_000)
		shards := make([]oleanderline.Size, rapid.IntRange(1, 9).Draw(t, "shards"))
		var capacity, sum oleanderline.Size
		for i := range shards {
			shards[i] = oleanderline.Size{
				CPU:          oleanderline.Millicores(amounts.Draw(t, "cpu")) * 1000,
				Memory:       oleanderline.Megabytes(amounts.Draw(t, "mem")) + 1,
				Accelerators: oleanderline.Accelerators(rapid.Int64Range(0, 3).Draw(t, "acc")),
			}
			capacity = capacity.Add(shards[i])
		}
		total := oleanderline.Size{CPU: oleanderline.Millicores(amounts.Draw(t, "quota")), Memory: 7, Accelerators: 3}
		for i := range shards {
			portion := quota.Portion(total, shards, i)
			require.False(t, shards[i].Accelerators == 0 && portion.Accelerators > 0)
			sum = sum.Add(portion)
		}
		require.Equal(t, total.Memory, sum.Memory)
		require.True(t, sum.Fits(total), "%s of %s", sum, total)
		require.True(t, capacity.CPU == 0 || sum.CPU == total.CPU)
		require.True(t, capacity.Accelerators == 0 || sum.Accelerators == total.Accelerators)
	})
}

// Guards against a submission that waits forever because it does not fit its team's portion in any shard, and against the
// refusal of one that fits the portion in some shard.
func TestRefuse(t *testing.T) {
	set, report := rules.Parse("quota team=routes cpu=1 # old\nquota team=routes cpu=4 # depot planning\n")
	require.Empty(t, report.Errors)
	book := quota.NewBook(0)
	book.SetRules(set)
	book.SetShards([]oleanderline.Size{{CPU: 3000, Memory: 1}, {CPU: 1000, Memory: 1}})
	size := func(cores oleanderline.Millicores) oleanderline.Size {
		return oleanderline.Size{CPU: cores * 1000, Memory: 99}
	}
	require.Empty(t, book.RefusalReason("routes", size(3)))
	require.Contains(t, book.RefusalReason("routes", size(4)), "divided over 2 shards")
	require.Contains(t, book.RefusalReason("routes", size(5)), "the quota of team routes is")
	require.Empty(t, book.RefusalReason("other", size(5)))
	require.False(t, book.FitsPortion("routes", size(2), 1))
	book.Commit("routes", size(2))
	require.True(t, book.Allows("routes", size(1)))
	require.False(t, book.Allows("routes", size(2)))
}
