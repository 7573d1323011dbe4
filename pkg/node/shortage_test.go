package node

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/oleanderline/oleanderline/pkg/capacity"
)

// shortageSeeds is the number of seeds of TestSchedulesWithUnservedWorkers.
const shortageSeeds = 20

// shortageJobs is the number of jobs in a schedule. The long-running ones of jobsPerRun jobs can fill the four workers that are
// served at most.
const shortageJobs = 8

// tooSmall makes the leader serve one worker, two at most, and each agent one, so that at least two workers are not served.
var tooSmall = capacity.VM{Cores: 0.0016}

// Guards against violated invariants in a cell whose processes together cannot serve all workers: a job that waits for an unserved
// worker for ever, or a task that is started again while it runs on one.
func TestSchedulesWithUnservedWorkers(t *testing.T) {
	for seed := range uint64(shortageSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			commons := newCommons()
			synctest.Test(t, func(t *testing.T) {
				runSchedule(t, newTestCell(t, seed, commons, func(c *testCell) { c.limits, c.jobs = tooSmall, shortageJobs }))
			})
		})
	}
}
