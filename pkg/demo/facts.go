// Package demo runs the whole system on loopback addresses in one process, with faults, and checks what it did.
package demo

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// Facts are what the demo has seen, from the callers' side, at the minions and at the workers.
type Facts struct {
	Requests    []Request
	RequestRuns map[string]int // runs at the minions by request id
	OverSlots   int            // minions that ran more requests at once than they have slots
	OverConns   int            // connections above the limit of a minion

	Jobs          []Job
	JobErrors     []string // jobs that were not accepted, or whose state could not be read
	TaskFaults    []string // runs of tasks that must not happen, see standin.Violations
	OverCapacity  int      // workers that were asked to run more than they hold
	DrainedVM     oleanderline.VMID
	DrainedBefore int // attempts that ran there when the rule was published
	DrainedTasks  int // attempts that run on the drained VM at the end
	DrainedStarts int // attempts that began there after the rule was in force everywhere

	Published oleanderline.Revision
	Revisions map[string]oleanderline.Revision // by daemon still alive

	StepErrors []string // steps of the sequence that failed
	StopErrors []string // planned stops that failed
	Elapsed    time.Duration
}

// Request is one request as its caller saw it. Requests with the same idempotency key have the same id.
type Request struct {
	ID         string
	Idempotent bool
	Keyed      bool
	Large      bool
	Result     oleanderline.Result
	Reason     string // why there is no answer
	Wrong      string // what is wrong with the answer, or ""
	// Excused says that an unknown result is right, because the entry was killed while it had the request, or because
	// it was the home of the request's key.
	Excused bool
	Latency time.Duration
}

// Job is one accepted job, as the scheduler reports it at the end, beside what its workers did.
type Job struct {
	ID        oleanderline.JobID
	Tasks     int // submitted
	Done      int
	Failed    int
	Waiting   int // for a worker
	Assigned  int // to a worker
	Completed int // tasks that ran to their end at a worker
}
