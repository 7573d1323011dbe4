package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against running members of a gang that are started a second time after one change of leader.
func TestGangThatHasLostAMemberOutlastsItsLeader(t *testing.T) {
	commons := newCommons()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 0, commons)
		defer c.close()
		time.Sleep(4 * time.Second) // until there is a leader
		job := oleanderline.Job{ID: "1", Queue: testQueue.ID, Payload: "1", Policy: testQueue, Steps: []oleanderline.Step{
			{Count: workerCount, Size: oleanderline.Size{CPU: 1000, Memory: 500}, Gang: true, MaxPerWorker: 1, LongRunning: true},
		}}
		require.True(t, c.submit(job))
		time.Sleep(time.Second)
		require.Equal(t, workerCount, c.runningCount())
		c.workers[0].Crash()
		c.workers[0].Restart()
		c.drainLeader()
		time.Sleep(2 * time.Second)
		require.Empty(t, c.checker.Violations())
	})
}
