package clientlimits

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/capacity"
)

// maxBody is the limit on a submission in the operators' configuration.
const maxBody = 256 << 10

// Guards against limits that together exceed the memory of a small VM, that leave no room for the descriptors of the workers, or that a
// single large submission or a few hundred ordinary clients meet.
func TestLimitsFollowTheVM(t *testing.T) {
	for _, s := range []struct {
		name        string
		vm          capacity.VM
		memory      int
		connections int
	}{
		{"smallest VM", capacity.VM{Cores: 0.069, Files: 4100}, 160 << 20, 1137},
		{"memory for more connections than descriptors", capacity.VM{Cores: 1, Files: 4100}, 1 << 30, 2528},
		{"few descriptors", capacity.VM{Cores: 1, Files: 520}, 96 << 20, 132},
		{"fewer descriptors than a process needs", capacity.VM{Cores: 1, Files: 200}, 96 << 20, 16},
		{"no limits", capacity.VM{Cores: 1}, 0, 0},
	} {
		t.Run(s.name, func(t *testing.T) {
			limits := For(s.vm, oleanderline.ByteCount(s.memory))
			require.Equal(t, s.connections, limits.Connections)
			if s.memory > 0 {
				sum := limits.Bodies + limits.SmallJobs + limits.LargeJobs + limits.HeldJobs + headerFactor*limits.Headers + connectionCost*oleanderline.ByteCount(limits.Connections)
				require.Less(t, float64(sum), 0.65*float64(s.memory))
			}
			require.GreaterOrEqual(t, int(limits.Bodies), 32*maxBody)
		})
	}
}
