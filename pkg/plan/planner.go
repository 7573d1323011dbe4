// Package plan places the tasks of jobs on workers and decides when a run of a task is stopped or slowed down. It does no I/O,
// starts no goroutine and reads no clock.
//
// A job consists of steps, a step of tasks that are alike. Three kinds of tasks are scheduled in different ways:
//   - A long-running task (Step.LongRunning) runs until its job is cancelled. It may have a target for its tail latency.
//   - A best-effort task (Step.BestEffort) uses CPU time that other tasks leave unused. It is slowed down or moved
//     to another worker if it raises the tail latency of long-running tasks too far.
//   - Any other task is a batch task.
package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/runtimes"
)

// runsPerClaim is the distance between the first run numbers of successive leaders. A leader numbers its runs above all runs of
// earlier leaders, of which it may not know the last ones.
const runsPerClaim = 1000

// Settings of a Planner.
type Settings struct {
	// Settle is how long a new leader waits for the reports of workers before it starts the first task.
	Settle time.Duration
	// Horizon is how long after the start of a term a run of an earlier leader may continue on a worker that has not reported.
	Horizon time.Duration
	// Majority is how long a leader may give orders after a majority of workers has last accepted its calls.
	Majority time.Duration
	// Lease is how long a run may continue after the last order to its worker.
	Lease time.Duration
	// MaxRecord is the size of the largest record that the log accepts; 0 means no limit.
	MaxRecord oleanderline.ByteCount
	// StopGrace is how long after the answer to a stop its run may continue.
	StopGrace time.Duration
	// IgnoreSpeed switches off that the speed of workers decides where tasks start, NoCopies that tasks get speculative copies.
	IgnoreSpeed, NoCopies bool
}

// Planner holds the jobs, tasks and workers of one leader's term.
type Planner struct {
	settings  Settings
	termStart time.Time // start of the term
	now       time.Time // time of the newest event
	runBase   int       // run numbers of this term are higher
	claims    int       // number of claims of leadership, that of this term included
	config    *oleanderline.CellConfig
	queues    map[oleanderline.QueueID]oleanderline.Queue
	jobs      map[oleanderline.JobID]*job
	workers   map[oleanderline.WorkerID]*worker
	ready     map[*group]struct{} // groups with ready tasks
	scheduled dueQueue            // jobs with occurrences that are not due yet
	heldTasks int                 // of all held occurrences
	// doneOccurrences are the held occurrences of jobs with due times that are done, and those of jobs that have ended.
	doneOccurrences map[*occurrence]struct{}
	dirty           map[*job]struct{}                 // jobs with progress that is not recorded yet
	unreadRuns      map[oleanderline.RunKey]unreadRun // reported runs of jobs that have not been read yet
	unexpected      map[oleanderline.TaskKey]int      // by task, the number of unexpected runs in the newest reports of all workers
	pairs           *pairs.Learner
	levels          map[oleanderline.QueueID]*ServiceLevel
	headroom        map[oleanderline.PoolID]*headroom
	meanWork        map[oleanderline.QueueID]workSum
	pass            int64     // number of the scheduling pass
	consolidatedAt  time.Time // when consolidate last ran
	starvedAt       time.Time // when best-effort tasks were last starved
	checkedAt       time.Time // when checkRunning last ran
	speculatedAt    time.Time // when speculate last searched
	runtimes        map[oleanderline.QueueID]*runtimes.Sample
	copies          CopyCounts
	lastTrial       map[pairs.Image]time.Time // last trial of each image of a best-effort task, beside tasks with which it probably interferes
	advicePending   bool                      // a request to the adviser is pending
	adviceRequests  []AdviceRequest
	firstStarts     []time.Duration // times from the arrival of a job to its first start
	orders          []Order
	notes           []Note
	majorityAt      time.Time // when a majority of the inherited workers had reported in this term
	firstTerm       bool      // this is the first term, so nothing was started before
	batches         []*noteBatch
	startState      StartState // of the last pass
	domains         domains
	// startsNoted and unreportedNoted are whether noteStartsAllowed and noteUnreportedAllowed have done their part.
	startsNoted, unreportedNoted bool
}

// New returns the planner of a term that begins now. claims is the number of times that leadership was claimed, this claim
// included.
func New(settings Settings, claims int, now time.Time) *Planner {
	return &Planner{
		settings:        settings,
		termStart:       now,
		now:             now,
		runBase:         (claims - 1) * runsPerClaim,
		claims:          claims,
		firstTerm:       claims == 1,
		config:          &oleanderline.CellConfig{},
		queues:          map[oleanderline.QueueID]oleanderline.Queue{},
		jobs:            map[oleanderline.JobID]*job{},
		workers:         map[oleanderline.WorkerID]*worker{},
		ready:           map[*group]struct{}{},
		doneOccurrences: map[*occurrence]struct{}{},
		dirty:           map[*job]struct{}{},
		unreadRuns:      map[oleanderline.RunKey]unreadRun{},
		unexpected:      map[oleanderline.TaskKey]int{},
		pairs:           pairs.New(),
		levels:          map[oleanderline.QueueID]*ServiceLevel{},
		headroom:        map[oleanderline.PoolID]*headroom{},
		meanWork:        map[oleanderline.QueueID]workSum{},
		runtimes:        map[oleanderline.QueueID]*runtimes.Sample{},
		lastTrial:       map[pairs.Image]time.Time{},
	}
}

// SetConfig replaces the configuration. A job whose queue has been removed keeps the last settings of the queue.
func (p *Planner) SetConfig(config *oleanderline.CellConfig) {
	p.config = config
	queues := map[oleanderline.QueueID]oleanderline.Queue{}
	for _, queue := range config.Queues {
		queues[queue.ID] = queue
	}
	p.queues = queues
	for _, j := range p.jobs {
		if queue, ok := queues[j.spec.Queue]; ok {
			j.queue = queue
		}
	}
}

// Pairs returns the learner of which best-effort tasks interfere with which long-running tasks.
func (p *Planner) Pairs() *pairs.Learner { return p.pairs }

// Orders returns the orders decided since the last call.
func (p *Planner) Orders() []Order {
	orders := p.orders
	p.orders = nil
	return orders
}

// FirstStarts returns the times from arrival to first start of the jobs whose first task has started since the last call.
func (p *Planner) FirstStarts() []time.Duration {
	firstStarts := p.firstStarts
	p.firstStarts = nil
	return firstStarts
}

// Notes returns the decisions since the last call, for the log.
func (p *Planner) Notes() []Note {
	notes := p.notes
	p.notes = nil
	return notes
}

// mayStart reports whether tasks may be started in this term: every worker on which any task of an earlier leader may run has
// reported, or Settle has passed.
func (p *Planner) mayStart(now time.Time) bool {
	return p.firstTerm || now.Sub(p.termStart) >= p.settings.Settle || p.allReported()
}

// allReported reports whether every worker on which any task of an earlier leader may run has reported in this term.
func (p *Planner) allReported() bool {
	for _, w := range p.workers {
		if w.inherited && !w.tasksKnown && !w.reported {
			return false
		}
	}
	return true
}

// expireUnreported treats workers that have not reported in this term as empty and unreachable, once all runs of earlier
// leaders must have expired there.
func (p *Planner) expireUnreported(now time.Time) {
	if p.firstTerm || !p.unreportedExpired(now) {
		return
	}
	for _, w := range p.workers {
		if w.inherited && !w.reported {
			w.reported, w.unreachable = true, true
			p.noteEmpty(w, p.expiryReason(now))
		}
	}
}

// mayAlreadyRun reports whether a task may already be running, on a worker that has not reported in this term or lists an unexpected run.
// unreportedMayRun is the result of Planner.unreportedMayRun.
func (p *Planner) mayAlreadyRun(t *task, unreportedMayRun bool) bool {
	if len(p.unexpected) > 0 && p.unexpected[t.key()] > 0 {
		return true
	}
	if slices.ContainsFunc(t.inheritedWorkers, (*worker).reportAwaited) {
		return true
	}
	return unreportedMayRun && t.unreported
}

// unreportedMayRun reports whether a task that no worker has reported may run on a worker that has not reported yet.
func (p *Planner) unreportedMayRun(now time.Time) bool {
	return !p.firstTerm && !p.unreportedExpired(now) && !p.allReported()
}

// unreportedExpired reports whether every run that an earlier leader has started and that was not reported must have expired.
// This is so after Horizon, or Majority and Lease after a majority of workers has reported in this term: from then on no
// earlier leader extends a run.
func (p *Planner) unreportedExpired(now time.Time) bool {
	if now.Sub(p.termStart) >= p.settings.Horizon {
		return true
	}
	if p.majorityAt.IsZero() && p.majorityReported() {
		p.majorityAt = now
	}
	return !p.majorityAt.IsZero() && now.Sub(p.majorityAt) >= p.settings.Majority+p.settings.Lease
}
