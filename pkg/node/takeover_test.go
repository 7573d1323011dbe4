package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// leader returns the index of the process that leads, or -1.
func (w *world) leader() int {
	for i := range worldNodes {
		if m := w.member(i); m != nil && m.node.leads() == 1 {
			return i
		}
	}
	return -1
}

// Guards against waiting for a leader that has gone with the earlier process of the own VM, as after a loss of power of all VMs.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, commons)
		defer w.close()
		time.Sleep(4 * time.Second)
		first := w.leader()
		require.GreaterOrEqual(t, first, 0)
		for i := range worldNodes {
			w.killNode(i, time.Second)
		}
		time.Sleep(time.Second + claimSpread + 500*time.Millisecond)
		require.Equal(t, first, w.leader())
	})
}
