package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// slowSchedules is the number of seeds of TestSchedulesAtASlowLog.
const slowSchedules = 20

// Guards against violated invariants under the faults of TestSchedules while the log answers slowly for seconds at a time, so that records
// go through appenders, which fail as well.
func TestSchedulesAtASlowLog(t *testing.T) {
	count := slowSchedules
	if number, err := strconv.Atoi(os.Getenv("OLEANDER_SCHEDULES")); err == nil {
		count = number
	}
	for seed := uint64(1); seed <= uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				var queue *cellfake.AppendQueue
				c := newTestCell(t, seed, commons, func(c *testCell) {
					queue = cellfake.NewAppendQueue(c.store, record.Stream)
					c.log = queue
				})
				c.wg.Go(func() { c.varyAnswerTime(queue) })
				runSchedule(t, c)
				queue.Wait()
				require.Positive(t, c.handedOver())
			})
		})
	}
}

// varyAnswerTime makes the log slow for some seconds again and again, until the faults end.
func (c *testCell) varyAnswerTime(queue *cellfake.AppendQueue) {
	random := rand.New(rand.NewPCG(c.seed, 2))
	for range faultsPerRun {
		queue.SetAnswerTime(time.Duration(30+random.IntN(270)) * time.Millisecond)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		queue.SetAnswerTime(fastAppend)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// handedOver returns how many records the processes have handed to appenders.
func (c *testCell) handedOver() uint64 {
	sum := uint64(0)
	for _, common := range c.commons {
		sum += common.Metrics.GetOrCreateCounter("oleander_cell_handed_over_total").Get()
	}
	return sum
}
