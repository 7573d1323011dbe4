// Package demo runs the whole system on loopback addresses in one process, injects faults and checks the results.
package demo

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Facts holds what callers, minions and workers observed during the demo.
type Facts struct {
	Requests        []Request
	RequestRuns     map[string]int // number of runs on minions by request id
	OverSlots       int            // number of minions that ran more requests at once than they have slots
	OverConnections int            // number of connections over the limit of a minion

	Jobs          []Job
	JobErrors     []string // jobs that were not accepted, or whose status could not be read
	TaskFaults    []string // invalid runs of tasks, see standin.Violations
	OverCapacity  int      // number of workers that were assigned more than their capacity
	DrainedVM     oleanderline.VMID
	DrainedBefore int // attempts running on the drained VM just before the drain rule was published
	DrainedTasks  int // attempts still running on the drained VM at the end
	DrainedStarts int // attempts that began on the drained VM after the rule was in force everywhere

	Published oleanderline.Revision
	Revisions map[string]oleanderline.Revision // by name of the daemons that are still running

	StepErrors []string // steps of the sequence that failed
	StopErrors []string // planned stops that failed
	Elapsed    time.Duration
}

// Request is the result of one request at its caller. Requests with the same idempotency key have the same id.
type Request struct {
	ID         string
	Idempotent bool
	Keyed      bool
	Large      bool
	Result     oleanderline.Result
	Reason     string // why there is no answer
	Mismatch   string // what is wrong with the answer, or ""
	// Explained means that an unknown result is expected, because the killed VM was the entry that handled the request or
	// the home of the request's key.
	Explained bool
	Latency   time.Duration
}

// Job is the final status of an accepted job according to the scheduler, with the number of tasks its workers completed.
type Job struct {
	ID        oleanderline.JobID
	Tasks     int // number of tasks submitted
	Done      int
	Failed    int
	Waiting   int // not assigned to a worker
	Assigned  int // assigned to a worker
	Completed int // completed according to the workers
}
