package cellfake

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// cancelLimit is how long after the acceptance of a cancellation the start of a task may still be ordered.
	cancelLimit = 3 * time.Second
	// lateOrderDelay is the delay from which on an order counts as carried out late.
	lateOrderDelay = 500 * time.Millisecond
	// lateRunLimit is how long a run may last that a late order has started after the cancellation of its job: the time that a
	// leader has to notice the run (3 s), plus the lease of a worker that no leader can reach (4.4 s).
	lateRunLimit = 3*time.Second + 4400*time.Millisecond
	// contactTime is how long after the end of a disturbance of the store a process may not know of a cancellation.
	contactTime = 3 * time.Second
	// shortestRun and defaultLongestRun bound the duration of runs other than those of long-running tasks.
	shortestRun       = 300 * time.Millisecond
	defaultLongestRun = 2800 * time.Millisecond
)

// Checker is an Observer of the workers of a cell. It compares what they do with what callers have submitted and what they were
// answered, and collects violations of these invariants:
//
//   - TWICE: no two runs of a task are active at the same time, and no task runs again after its completion was acknowledged. If the step
//     allows copies, two runs of a task may be active, but no order to start one is sent long after its completion was acknowledged.
//   - ORDER: a step starts after the completion of all steps that it depends on.
//   - BUDGET: no task starts again after it has used up its attempts.
//   - UNASKED: no task runs after the cancellation of its job, apart from a short delay.
//   - EVAC: no task starts in a failure domain that operators have taken out of service, apart from a short delay.
//   - LOST: an accepted job reaches the state that its tasks and cancellations imply.
//   - MIXED: a job is completed only if all its tasks are done.
type Checker struct {
	maxAttempts int
	mu          sync.Mutex
	jobs        map[oleanderline.JobID]*trackedJob
	active      map[oleanderline.TaskKey]map[oleanderline.RunKey]ActiveRun
	duplicates  []Duplicate
	longestRun  time.Duration
	// disturbedUntil is until when the store is known not to serve all processes.
	disturbedUntil time.Time
	done           map[oleanderline.TaskKey]bool      // a run has ended with EndDone
	doneRuns       map[oleanderline.TaskKey]ActiveRun // the newest run that has ended so
	acked          map[oleanderline.TaskKey]bool      // such an end has been acknowledged
	// lateRuns holds the start times of active runs that a late order started after the cancellation of their job.
	lateRuns   map[oleanderline.RunKey]time.Time
	domains    domainRule
	failed     map[oleanderline.TaskKey]map[oleanderline.RunKey]bool // acknowledged ends with EndFailed
	copies     copyChecks
	violations []string
}

type trackedJob struct {
	job         oleanderline.Job
	accepted    bool
	cancelledAt time.Time // when a cancellation was accepted; zero if none was
	cancelSent  bool      // if no cancellation was accepted, one that was sent may or may not take effect
}

// NewChecker returns a checker for jobs that fail once one of their tasks has failed maxAttempts times.
func NewChecker(maxAttempts int) *Checker {
	return &Checker{
		maxAttempts: maxAttempts,
		longestRun:  defaultLongestRun,
		jobs:        map[oleanderline.JobID]*trackedJob{},
		active:      map[oleanderline.TaskKey]map[oleanderline.RunKey]ActiveRun{},
		done:        map[oleanderline.TaskKey]bool{},
		doneRuns:    map[oleanderline.TaskKey]ActiveRun{},
		acked:       map[oleanderline.TaskKey]bool{},
		lateRuns:    map[oleanderline.RunKey]time.Time{},
		domains:     newDomainRule(),
		copies:      newCopyChecks(),
		failed:      map[oleanderline.TaskKey]map[oleanderline.RunKey]bool{},
	}
}

// SetLongestRun sets the upper bound of the duration of runs. It is called before the first run starts.
func (c *Checker) SetLongestRun(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longestRun = limit
}

// StoreDisturbed records that the store does not serve all processes until the given time. Starts of cancelled jobs do not count
// until shortly after that, because the rule holds only for processes in touch with the store.
func (c *Checker) StoreDisturbed(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disturbedUntil) {
		c.disturbedUntil = until
	}
}

// violation records a violation. The caller must hold c.mu.
func (c *Checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// Submitted records that a caller is about to submit a job.
func (c *Checker) Submitted(job oleanderline.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = &trackedJob{job: job}
}

// Accepted records that the submission of a job was accepted.
func (c *Checker) Accepted(id oleanderline.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].accepted = true
}

// CancelSent records that a cancellation is about to be sent. It may take effect even if it is never answered.
func (c *Checker) CancelSent(id oleanderline.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// Cancelled records that the cancellation of a job was accepted.
func (c *Checker) Cancelled(id oleanderline.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelledAt = time.Now()
}

// Work implements Observer. It derives the duration of a task, and whether its first run fails, from the payload of its job.
func (c *Checker) Work(key oleanderline.RunKey, payload string) Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key.Task.Job]
	if j == nil || payload != j.job.Payload {
		c.violation("%s run %d has an unknown job or another payload than its job", key.Task, key.Run)
		return Work{}
	}
	step := j.job.Steps[key.Task.Step]
	var number int
	if _, err := fmt.Sscan(payload, &number); err != nil {
		c.violation("payload %q: %v", payload, err)
	}
	random := rand.New(rand.NewPCG(uint64(number), uint64(1000*key.Task.Step+key.Task.Index)))
	spread := int((c.longestRun - shortestRun).Milliseconds())
	work := Work{Size: step.Size, Duration: shortestRun + time.Duration(random.IntN(spread))*time.Millisecond}
	work.Fails = random.IntN(12) < max(0, 2-key.Run) // some first runs fail
	if step.LongRunning {
		work.Duration = 0
	}
	return work
}

// Started implements Observer.
func (c *Checker) Started(worker oleanderline.WorkerID, key oleanderline.RunKey, term oleanderline.Term, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := ActiveRun{Run: key.Run, Worker: worker, Term: term, StartedAt: time.Now()}
	if c.allowsCopies(key.Task) {
		c.checkCopy(key, worker, sentAt)
		c.addRun(key, run, sentAt)
		return
	}
	for _, other := range c.active[key.Task] {
		c.violation("TWICE: %s run %d starts on %s (term %d) while run %d is active on %s (term %d, started %s ago)",
			key.Task, key.Run, worker, term, other.Run, other.Worker, other.Term, run.StartedAt.Sub(other.StartedAt))
		c.duplicates = append(c.duplicates, Duplicate{Task: key.Task, First: other, Second: run})
	}
	if c.acked[key.Task] {
		c.violation("TWICE: %s run %d starts on %s after the completion of the task was acknowledged", key.Task, key.Run, worker)
		c.duplicates = append(c.duplicates, Duplicate{Task: key.Task, First: c.doneRuns[key.Task], Second: run, FirstDone: true})
	}
	c.addRun(key, run, sentAt)
}

// addRun checks the start of a run and adds it to the active ones. The caller must hold c.mu.
func (c *Checker) addRun(key oleanderline.RunKey, run ActiveRun, sentAt time.Time) {
	c.checkStart(key, sentAt)
	c.checkDomain(run.Worker, key, sentAt)
	if c.active[key.Task] == nil {
		c.active[key.Task] = map[oleanderline.RunKey]ActiveRun{}
	}
	c.active[key.Task][key] = run
}

// checkStart checks the invariants that concern the start of a run.
func (c *Checker) checkStart(key oleanderline.RunKey, sentAt time.Time) {
	j := c.jobs[key.Task.Job]
	if j == nil {
		return
	}
	for _, earlier := range j.job.Steps[key.Task.Step].After {
		for i := range j.job.Steps[earlier].Count {
			if !c.done[oleanderline.TaskKey{Job: key.Task.Job, Step: earlier, Index: i}] {
				c.violation("ORDER: %s starts before step %d is done", key.Task, earlier)
				break
			}
		}
	}
	c.checkCancelled(j, key, sentAt)
	if len(c.failed[key.Task]) >= c.maxAttempts && !j.job.Steps[key.Task.Step].LongRunning {
		c.violation("BUDGET: %s starts after %d failed runs", key.Task, len(c.failed[key.Task]))
	}
}

// checkCancelled checks a start after the cancellation of its job. If the order was carried out late, the time at which it was
// sent is checked instead, and the run that it started must end within lateRunLimit.
func (c *Checker) checkCancelled(j *trackedJob, key oleanderline.RunKey, sentAt time.Time) {
	if j.cancelledAt.IsZero() {
		return
	}
	orderTime := time.Now()
	if late := time.Since(sentAt) >= lateOrderDelay; late {
		orderTime = sentAt
		c.lateRuns[key] = time.Now()
	}
	if after := orderTime.Sub(j.cancelledAt); after > cancelLimit && orderTime.After(c.disturbedUntil.Add(contactTime)) {
		c.violation("UNASKED: %s is started %s after its job was cancelled", key.Task, after)
	}
}

// Ended implements Observer.
func (c *Checker) Ended(_ oleanderline.WorkerID, key oleanderline.RunKey, kind oleanderline.EndKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if startedAt, late := c.lateRuns[key]; late {
		delete(c.lateRuns, key)
		if lasted := time.Since(startedAt); lasted > lateRunLimit {
			c.violation("UNASKED: %s run %d of a cancelled job was started late and lasts %s", key.Task, key.Run, lasted)
		}
	}
	if kind == oleanderline.EndDone {
		c.done[key.Task] = true
		c.doneRuns[key.Task] = c.active[key.Task][key]
	}
	delete(c.active[key.Task], key)
}

// Acked implements Observer. It ignores an end if the worker's deadline passed before the acknowledgement, because a leader that
// could not reach the worker had to assume that the run had ended by lease expiry.
func (c *Checker) Acked(key oleanderline.RunKey, kind oleanderline.EndKind, expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if expired {
		return
	}
	switch kind {
	case oleanderline.EndDone:
		c.acked[key.Task] = true
		if c.allowsCopies(key.Task) {
			c.ackedCopied(key.Task)
			return
		}
		if len(c.active[key.Task]) > 0 {
			c.violation("TWICE: %s is acknowledged as done while another run is active", key.Task)
		}
		for _, other := range c.active[key.Task] {
			c.duplicates = append(c.duplicates, Duplicate{Task: key.Task, First: c.doneRuns[key.Task], Second: other, FirstDone: true})
		}
	case oleanderline.EndFailed:
		if c.failed[key.Task] == nil {
			c.failed[key.Task] = map[oleanderline.RunKey]bool{}
		}
		c.failed[key.Task][key] = true
	}
}

// RunCount returns the number of active runs of a task.
func (c *Checker) RunCount(task oleanderline.TaskKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active[task])
}

// ActiveTasks returns the number of tasks in progress, without long-running tasks.
func (c *Checker) ActiveTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for task, runs := range c.active {
		if j := c.jobs[task.Job]; len(runs) > 0 && j != nil && !j.job.Steps[task.Step].LongRunning {
			count++
		}
	}
	return count
}

// Overcommitted implements Observer.
func (c *Checker) Overcommitted(oleanderline.WorkerID, oleanderline.RunKey) {}

// CheckFinal checks the states of all accepted jobs. It is called some time after the last fault has ended.
func (c *Checker) CheckFinal(state func(id oleanderline.JobID) (oleanderline.JobState, error)) {
	c.checkLateRuns()
	for _, id := range c.acceptedJobs() {
		got, err := state(id) // without the mutex, because the workers need it
		c.checkJob(id, got, err)
	}
}

// checkLateRuns checks the runs of cancelled jobs that late orders have started.
func (c *Checker) checkLateRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, startedAt := range c.lateRuns {
		if lasted := time.Since(startedAt); lasted > lateRunLimit {
			c.violation("UNASKED: %s run %d of a cancelled job was started late and still runs after %s", key.Task, key.Run, lasted)
		}
	}
}

func (c *Checker) acceptedJobs() []oleanderline.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []oleanderline.JobID
	for id, j := range c.jobs {
		if j.accepted {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkJob checks the answer to a question for the state of a job.
func (c *Checker) checkJob(id oleanderline.JobID, got oleanderline.JobState, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.violation("LOST: the state of job %s is not known: %v", id, err)
		return
	}
	c.checkState(id, c.jobs[id], got)
}

// checkState checks the final state of a job.
func (c *Checker) checkState(id oleanderline.JobID, j *trackedJob, got oleanderline.JobState) {
	longRunning := j.job.Steps[0].LongRunning
	switch {
	case !j.cancelledAt.IsZero():
		if !got.Final() {
			c.violation("LOST: job %s was cancelled and is %s", id, got)
		}
	case j.cancelSent && got == oleanderline.JobCancelled:
	case longRunning:
		if got != oleanderline.JobRunning {
			c.violation("LOST: long-running job %s is %s", id, got)
		}
		c.checkRunning(id, j)
	case got == oleanderline.JobCompleted:
		c.checkDone(id, j)
	case got == oleanderline.JobFailed:
		if !c.attemptsExhausted(id) {
			c.violation("LOST: job %s is failed, but no task of it has used up its attempts", id)
		}
	default:
		c.violation("LOST: job %s is %s", id, got)
	}
}

// checkRunning checks that all tasks of a long-running job are running.
func (c *Checker) checkRunning(id oleanderline.JobID, j *trackedJob) {
	for s := range j.job.Steps {
		for i := range j.job.Steps[s].Count {
			if len(c.active[oleanderline.TaskKey{Job: id, Step: s, Index: i}]) == 0 {
				c.violation("LOST: task %d.%d of long-running job %s is not running", s, i, id)
			}
		}
	}
}

// checkDone checks that all tasks of a completed job are done.
func (c *Checker) checkDone(id oleanderline.JobID, j *trackedJob) {
	for s := range j.job.Steps {
		for i := range j.job.Steps[s].Count {
			if !c.done[oleanderline.TaskKey{Job: id, Step: s, Index: i}] {
				c.violation("MIXED: job %s is completed, but task %d.%d is not done", id, s, i)
			}
		}
	}
}

// attemptsExhausted reports whether a task of the job has failed maxAttempts times.
func (c *Checker) attemptsExhausted(id oleanderline.JobID) bool {
	for key, runs := range c.failed {
		if key.Job == id && len(runs) >= c.maxAttempts {
			return true
		}
	}
	return false
}

// Violations returns all violations, one per line.
func (c *Checker) Violations() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.violations, "\n")
}
