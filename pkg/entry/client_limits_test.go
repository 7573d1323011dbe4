package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// Guards against limits that ignore the memory or the descriptors of the VM, and against other limits without these settings.
func TestClientLimitsFollowTheSettings(t *testing.T) {
	for _, s := range []struct {
		name                string
		memory, descriptors int
		connections         int
		buffered            int64
	}{
		{"none", 0, 0, maxCallerConnections, 256 << 20},
		{"memory", 160, 0, 1137, 24 << 20},
		{"memory and descriptors", 160, 520, 132, 24 << 20},
		{"much memory", 16 << 10, 0, maxCallerConnections, 256 << 20},
	} {
		t.Run(s.name, func(t *testing.T) {
			settings := DefaultSettings()
			settings.ID, settings.Key = "own-1", "key-of-the-limits-test"
			settings.PeerListen = "127.0.0.1:1"
			settings.Memory, settings.Descriptors = s.memory, s.descriptors
			d, err := New(common.New("test"), settings)
			require.NoError(t, err)
			require.Equal(t, s.connections, d.clientLimits().Connections)
			require.Equal(t, s.buffered, d.config.caller.MaxBuffered)
		})
	}
}
