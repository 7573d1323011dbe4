package quota_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/quota"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Guards against portions that exceed the quota in sum or leave a part of it to nobody, and against a shard without
// capacity that gets one.
func TestPortionsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Range(0, 1_000_000)
		shards := make([]oleanderline.Size, rapid.IntRange(1, 9).Draw(t, "shards"))
		var total, sum oleanderline.Size
		for i := range shards {
			shards[i] = oleanderline.Size{
				CPU:          oleanderline.Millicores(amount.Draw(t, "cpu")) * 1000,
				Memory:       oleanderline.Megabytes(amount.Draw(t, "mem")) + 1,
				Accelerators: oleanderline.Accelerators(rapid.Int64Range(0, 3).Draw(t, "acc")),
			}
			total = total.Add(shards[i])
		}
		whole := oleanderline.Size{CPU: oleanderline.Millicores(amount.Draw(t, "quota")), Memory: 7, Accelerators: 3}
		for i := range shards {
			portion := quota.Portion(whole, shards, i)
			require.False(t, shards[i].Accelerators == 0 && portion.Accelerators > 0)
			sum = sum.Add(portion)
		}
		require.Equal(t, whole.Memory, sum.Memory)
		require.True(t, sum.Fits(whole), "%s of %s", sum, whole)
		require.True(t, total.CPU == 0 || sum.CPU == whole.CPU)
		require.True(t, total.Accelerators == 0 || sum.Accelerators == whole.Accelerators)
	})
}

// Guards against a submission that waits for ever because its quota can never hold it, and against the refusal of one
// that some shard can run.
func TestRefuse(t *testing.T) {
	set, report := rules.Parse("quota team=routes cpu=1 # old\nquota team=routes cpu=4 # depot planning\n")
	require.Empty(t, report.Errors)
	book := quota.NewBook(0)
	book.SetRules(set)
	book.SetShards([]oleanderline.Size{{CPU: 3000, Memory: 1}, {CPU: 1000, Memory: 1}})
	size := func(cores oleanderline.Millicores) oleanderline.Size {
		return oleanderline.Size{CPU: cores * 1000, Memory: 99}
	}
	require.Empty(t, book.Refuse("routes", size(3)))
	require.Contains(t, book.Refuse("routes", size(4)), "divided over 2 shards")
	require.Contains(t, book.Refuse("routes", size(5)), "the quota of team routes is")
	require.Empty(t, book.Refuse("other", size(5)))
	require.False(t, book.Holds("routes", size(2), 1))
	book.Commit("routes", size(2))
	require.True(t, book.Allows("routes", size(1)))
	require.False(t, book.Allows("routes", size(2)))
}
