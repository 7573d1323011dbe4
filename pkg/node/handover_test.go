package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/common"
)

const (
	// defaultHandovers is the number of seeds per test run. OLEANDER_HANDOVERS sets another number, OLEANDER_HANDOVER a single seed.
	defaultHandovers  = 40
	handoverProcesses = 5
	faultsPerHandover = 10
	spareWorkers      = 4 // workers that join under a new id
	// maxFault is the longest duration of a fault.
	maxFault = 5 * time.Second
)

// handoverCell is a cell with faults around changes of leader: ends of several leaders in a row, workers that some or all processes
// cannot reach while they run on, and clocks that differ.
type handoverCell struct {
	*testCell
	mu        sync.Mutex
	cuts      map[cut]int // number of faults that are in force
	unhealthy map[oleanderline.WorkerID]int
	spares    []int           // indexes of workers that have not joined yet
	wallSteps []time.Duration // by process: by which its time of day differs from the true one
}

// cut is the path from one process to one worker.
type cut struct {
	process int
	worker  oleanderline.WorkerID
}

// Guards against a task that runs twice, or a job that is lost, after changes of leader in a row that overlap with unreachable,
// unhealthy, restarted or unlisted workers, on clocks that differ in origin, rate and time of day.
func TestHandovers(t *testing.T) {
	first, count := uint64(1), defaultHandovers
	if seed := os.Getenv("OLEANDER_HANDOVER"); seed != "" {
		number, err := strconv.ParseUint(seed, 10, 64)
		require.NoError(t, err)
		first, count = number, 1
	} else if number, err := strconv.Atoi(os.Getenv("OLEANDER_HANDOVERS")); err == nil {
		count = number
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommonsOn(skewedClocks(seed))
			synctest.Test(t, func(t *testing.T) { runHandovers(t, newHandoverCell(t, seed, commons)) })
		})
	}
}

// skewedClocks returns a clock for each process, with origins that are hours apart and rates that differ by up to 1%.
func skewedClocks(seed uint64) []oleanderline.Clock {
	random := rand.New(rand.NewPCG(seed, 2))
	clocks := make([]oleanderline.Clock, handoverProcesses)
	for i := range clocks {
		origin := time.Unix(int64(random.IntN(1000))*3600, 0)
		clocks[i] = &skewedClock{origin: origin, rate: []float64{0.99, 1, 1.01}[random.IntN(3)]}
	}
	return clocks
}

func newHandoverCell(t *testing.T, seed uint64, commons []*common.Common) *handoverCell {
	c := &handoverCell{
		cuts: map[cut]int{}, unhealthy: map[oleanderline.WorkerID]int{}, wallSteps: make([]time.Duration, len(commons)),
	}
	c.testCell = newTestCell(t, seed, commons, func(cell *testCell) {
		cell.wrapRunner = func(process int, id oleanderline.WorkerID, runner oleanderline.Runner) oleanderline.Runner {
			return &faultyRunner{Runner: runner, cell: c, cut: cut{process, id}}
		}
		cell.wall = func(process int) time.Time {
			c.mu.Lock()
			defer c.mu.Unlock()
			return time.Now().Add(c.wallSteps[process])
		}
		for i := range spareWorkers {
			c.spares = append(c.spares, workerCount+i)
			cell.addWorker()
		}
	})
	return c
}

func runHandovers(t *testing.T, c *handoverCell) {
	defer c.close()
	time.Sleep(4 * time.Second) // until there is a leader
	c.wg.Go(c.runCallers)
	for range faultsPerHandover {
		time.Sleep(time.Duration(c.faultRand.IntN(3000)) * time.Millisecond)
		c.injectHandoverFault()
	}
	time.Sleep(4 * maxFault) // until the longest series has ended
	c.clearFaults()
	time.Sleep(recoveryTime)
	c.checker.CheckFinal(func(id oleanderline.JobID) (oleanderline.JobState, error) {
		return c.process(0).node.State(c.ctx, "q", id)
	})
	require.Empty(t, c.checker.Violations())
}

// injectHandoverFault starts one random fault.
func (c *handoverCell) injectHandoverFault() {
	duration := 300*time.Millisecond + time.Duration(c.faultRand.Int64N(int64(maxFault-300*time.Millisecond)))
	worker := c.faultRand.IntN(workerCount)
	switch c.faultRand.IntN(14) {
	case 0, 1, 2, 3:
		c.cutWorkers(duration)
		c.endLeaders(2 + c.faultRand.IntN(3))
	case 4, 5:
		c.cutWorkers(duration)
	case 6:
		c.refuse(c.workerID(worker), duration)
	case 7:
		c.unlist(c.workerID(worker), duration)
	case 8:
		c.replaceWorker(worker, duration)
	case 9:
		c.restartWorker(worker, duration/5)
	case 10:
		fault := []cellfake.Fault{cellfake.FaultRefuse, cellfake.FaultBlackhole, cellfake.FaultAnswerLost, cellfake.FaultLate}[c.faultRand.IntN(4)]
		c.setStoreFault(c.leaderOrAny(), fault, duration)
	case 11:
		c.stepTimeOfDay(c.faultRand.IntN(len(c.commons)))
	case 12:
		c.drainProcess(c.faultRand.IntN(len(c.commons)), duration/2)
	case 13:
		c.killProcess(c.faultRand.IntN(len(c.commons)), duration/2)
	}
}

// leaderOrAny draws the leader, or any process.
func (c *handoverCell) leaderOrAny() int {
	index := c.faultRand.IntN(len(c.commons))
	if leader := c.leaderIndex(); leader >= 0 && c.faultRand.IntN(2) == 0 {
		return leader
	}
	return index
}
