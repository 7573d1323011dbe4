package member

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
)

func drawMembers(t *rapid.T) []oleanderline.VMID {
	n := rapid.IntRange(1, 20).Draw(t, "members")
	ids := make([]oleanderline.VMID, n)
	for i := range ids {
		ids[i] = oleanderline.VMID(fmt.Sprintf("own-%d", i))
	}
	return ids
}

// Guards against a membership change that moves keys of members other than the one that left.
func TestRankMovesOnlyTheKeysOfTheMemberThatLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := append(append([]oleanderline.VMID{}, members[:gone]...), members[gone+1:]...)
		for key := range 50 {
			name := fmt.Sprintf("shard-%d", key)
			before := Rank(name, members)
			require.Equal(t, before[0], Home(name, members))
			if before[0] != members[gone] {
				require.Equal(t, before[0], Home(name, rest))
			} else if len(rest) > 0 {
				require.Equal(t, before[1], Home(name, rest))
			}
		}
	})
}

// Guards against a hash that distributes keys unevenly over the members.
func TestHomeSpreadsKeys(t *testing.T) {
	members := []oleanderline.VMID{"own-1", "own-2", "own-3", "own-4", "own-5", "own-6", "own-7"}
	count := map[oleanderline.VMID]int{}
	const keys = 7000
	for key := range keys {
		count[Home(fmt.Sprintf("minion-%d/%d", key/8, key%8), members)]++
	}
	for _, id := range members {
		require.InDelta(t, keys/len(members), count[id], 150, "share of %s", id)
	}
}
