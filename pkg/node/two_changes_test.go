package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a second run of tasks after two changes of leader in a row, when the second leader and the third one do not reach
// the workers on which the first one has started the tasks.
func TestTasksRunOnceOverTwoChangesOfLeader(t *testing.T) {
	type scenario struct {
		name    string
		planned [2]bool // whether the first and the second leader stop as planned or are killed
		seed    uint64  // determines how many workers the leader serves without agents
	}
	for _, s := range []scenario{
		{"planned stops", [2]bool{true, true}, 3},
		{"planned stop, then kill", [2]bool{true, false}, 3},
		{"kill, then planned stop", [2]bool{false, true}, 3},
		{"planned stops, with agents", [2]bool{true, true}, 1},
		{"planned stops, with two workers for each agent", [2]bool{true, true}, 2},
	} {
		t.Run(s.name, func(t *testing.T) {
			commons := newCommonsOn(skewedClocks(s.seed))
			synctest.Test(t, func(t *testing.T) {
				c := newHandoverCell(t, s.seed, commons)
				defer c.close()
				time.Sleep(4 * time.Second) // until there is a leader
				job := oleanderline.Job{ID: "0000000000000001", Queue: "q", Policy: testQueue, Payload: "1", Steps: []oleanderline.Step{
					{Count: 2, Size: oleanderline.Size{CPU: 1000, Memory: 100}, LongRunning: true},
				}}
				require.True(t, c.submit(job))
				time.Sleep(time.Second)
				require.Equal(t, 2, c.runningCount())
				c.cutBusyWorkers(c.leaderIndex())
				for _, planned := range s.planned {
					c.endLeader(planned)
				}
				time.Sleep(2 * killTime)
				require.Empty(t, c.checker.Violations())
			})
		})
	}
}

// cutBusyWorkers makes the workers with runs unreachable for all processes but one.
func (c *handoverCell) cutBusyWorkers(except int) {
	c.change(func() {
		for i, worker := range c.workers {
			for process := range c.commons {
				if worker.RunCount() > 0 && process != except {
					c.cuts[cut{process, c.workerID(i)}]++
				}
			}
		}
	})
}

// killTime is how long a killed leader stays down.
const killTime = 3 * time.Second

// endLeader ends the leader and waits until its successor has led for long enough to store that a worker is unreachable. A leader
// that stops as planned drains for the rest of the test.
func (c *handoverCell) endLeader(planned bool) {
	index := c.leaderIndex()
	if planned {
		c.process(index).node.Drain(c.ctx)
	} else {
		c.killProcess(index, killTime)
	}
	for next := index; next == index || next < 0; next = c.leaderIndex() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * workerTimeout)
}
