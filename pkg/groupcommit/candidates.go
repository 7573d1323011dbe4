package groupcommit

import (
	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
	"github.com/oleanderline/oleanderline/pkg/member"
)

const (
	// rankKey is the key of the rendezvous hashing, by which all nodes choose the same appender.
	rankKey = "appender"
	// minCoreShare is the share of the cores of the largest VM below which a VM does not append for others.
	minCoreShare = 0.75
)

// Candidates returns the nodes that may append for others, in the order in which they are asked: the leader, which is empty if it has
// resigned or is not known, and the registered nodes with enough cores by rendezvous hashing.
func Candidates(leader oleanderline.VMID, nodes map[oleanderline.VMID]capacity.VM) []oleanderline.VMID {
	most := 0.0
	for _, vm := range nodes {
		most = max(most, vm.Cores)
	}
	var others []oleanderline.VMID
	for id, vm := range nodes {
		if id != leader && vm.Cores >= minCoreShare*most {
			others = append(others, id)
		}
	}
	ranked := member.Rank(rankKey, others)
	if _, registered := nodes[leader]; registered {
		ranked = append([]oleanderline.VMID{leader}, ranked...)
	}
	return ranked
}
