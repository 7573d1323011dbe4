package groupcommit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
)

// Guards against nodes that choose different appenders, and against a small VM that appends for others.
func TestCandidates(t *testing.T) {
	large, small := capacity.VM{Cores: 1}, capacity.VM{Cores: 0.5}
	nodes := map[oleanderline.VMID]capacity.VM{"a": large, "b": small, "c": large, "d": large, "e": small}
	ranked := Candidates("", nodes)
	require.ElementsMatch(t, []oleanderline.VMID{"a", "c", "d"}, ranked)
	require.Equal(t, ranked, Candidates("gone", nodes))
	require.Equal(t, append([]oleanderline.VMID{"b"}, ranked...), Candidates("b", nodes), "the leader comes first, whatever its size")
	delete(nodes, ranked[0])
	require.Equal(t, ranked[1:], Candidates("", nodes), "without a node, the others keep their order")
	require.Empty(t, Candidates("", nil))
}
