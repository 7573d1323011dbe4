package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a VM that gets more workers than its cores, its network link or its file descriptors can serve, and against one
// that gets no worker.
func TestScarcestResourceDecides(t *testing.T) {
	type scenario struct {
		name          string
		vm            VM
		leader, agent int
	}
	for _, s := range []scenario{
		{"cores", VM{Cores: 0.11, Mbps: 200, Files: 4100}, 70, 35},
		{"network link", VM{Cores: 0.8, Mbps: 2, Files: 4100}, 33, 25},
		{"file descriptors", VM{Cores: 8, Mbps: 1000, Files: 4100}, 760, 570},
		{"no limits but the cores", VM{Cores: 0.8}, 509, 254},
		{"cores for less than one worker", VM{Cores: 0.0001}, 1, 1},
		{"fewer file descriptors than reserved", VM{Cores: 1, Files: 100}, 1, 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, s.leader, s.vm.MaxWorkersAsLeader())
			require.Equal(t, s.agent, s.vm.MaxWorkersAsAgent())
		})
	}
}
