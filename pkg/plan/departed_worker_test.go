package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a link that stays open for the whole term to a worker which never answered and has left the directory.
func TestWorkerThatNeverReportedAndLeftIsRemoved(t *testing.T) {
	c := newCell(t, 1)
	entry := c.entries[0]
	entry.ID, entry.Address = "w9", "w9"
	c.planner.SetWorkers(append([]oleanderline.WorkerEntry{entry}, c.entries...), c.now)
	c.planner.SetServed("w9", true)
	c.flush()
	c.planner.CallFailed("w9", oleanderline.ErrUncertain)
	c.flush()
	c.planner.SetWorkers(c.entries, c.now)
	for range 100 {
		c.advance(time.Second)
		c.planner.CallFailed("w9", oleanderline.ErrUncertain)
		c.place()
		c.flush()
	}
	require.False(t, c.planner.HasWorker("w9"))
}
