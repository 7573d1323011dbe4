package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that is given more workers than its processor, its link or its descriptors carry, and against one that is
// given none.
func TestScarcestResourceDecides(t *testing.T) {
	type scenario struct {
		name          string
		vm            VM
		leader, agent int
	}
	for _, s := range []scenario{
		{"processor", VM{Cores: 0.11, Mbps: 200, Files: 4100}, 70, 35},
		{"link", VM{Cores: 0.8, Mbps: 2, Files: 4100}, 33, 25},
		{"descriptors", VM{Cores: 8, Mbps: 1000, Files: 4100}, 760, 570},
		{"no limits but the processor", VM{Cores: 0.8}, 509, 254},
		{"tiny", VM{Cores: 0.0001}, 1, 1},
		{"hardly any descriptors", VM{Cores: 1, Files: 100}, 1, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.leader, s.vm.ForLeader())
			require.Equal(t, s.agent, s.vm.ForAgent())
		})
	}
}
