package plan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a gang that never starts again after a new leader has adopted a part of it.
func TestPartlyAdoptedGangStartsAgainOnceItHasEnded(t *testing.T) {
	c := newCell(t, 3)
	c.add("a", oleanderline.Step{Count: 2, Size: testSize, Gang: true, MaxPerWorker: 1})
	c.place()
	first := taskOf("a", 0, 0)
	for _, w := range c.workers {
		for key := range w.running {
			if key.Task != first {
				delete(w.running, key)
			}
		}
	}
	c.flush()
	c.newTerm(2)
	c.reportAll()
	c.flush()
	c.place()
	c.endTask(first, oleanderline.EndStopped)
	c.reportAll()
	c.flush()
	c.place()
	c.place()
	require.Len(t, c.runsOf(first), 1)
	require.Len(t, c.runsOf(taskOf("a", 0, 1)), 1)
}
