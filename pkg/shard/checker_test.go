package shard_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// checker checks a schedule against every appended entry and every answer to a caller. It reads the streams with its own
// code, so that it also detects faults in pkg/journal.
type checker struct {
	sim      *simulation
	terms    [simShards]oleanderline.Term
	seqs     [simShards]map[oleanderline.WriterID]journal.Seq
	recorded map[oleanderline.JobID]bool
	finished [simShards]map[oleanderline.TaskID]journal.Kind
	accepted map[oleanderline.JobID]journal.Job
	submits  map[shard.Token]journal.Job
	pending  map[oleanderline.JobID]int // submissions that were not answered as not run
	ends     map[oleanderline.JobID]int // tasks that are done or have failed for good
	// checkpoints are the checkpoints that the next attempt of each task must resume from.
	checkpoints map[oleanderline.TaskID]string
	void        map[oleanderline.AttemptKey]bool // attempts assigned after the cancellation of their job
	// cancelled are the jobs with a cancel record.
	cancelled  [simShards]map[oleanderline.JobID]bool
	violations []string
}

func newChecker(sim *simulation) *checker {
	c := &checker{
		sim: sim, recorded: map[oleanderline.JobID]bool{},
		accepted: map[oleanderline.JobID]journal.Job{}, submits: map[shard.Token]journal.Job{},
		pending: map[oleanderline.JobID]int{}, ends: map[oleanderline.JobID]int{},
		checkpoints: map[oleanderline.TaskID]string{}, void: map[oleanderline.AttemptKey]bool{},
	}
	for i := range c.seqs {
		c.seqs[i] = map[oleanderline.WriterID]journal.Seq{}
		c.finished[i] = map[oleanderline.TaskID]journal.Kind{}
		c.cancelled[i] = map[oleanderline.JobID]bool{}
	}
	return c
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// appended records an appended group. As for every reader, groups of older terms and second copies do not count.
func (c *checker) appended(id int, offset oleanderline.Offset, group journal.Group) {
	if group.Term < c.terms[id] || group.Seq <= c.seqs[id][group.Writer] {
		return
	}
	c.seqs[id][group.Writer] = group.Seq
	for _, record := range group.List {
		switch record.Kind {
		case journal.KindClaim:
			c.terms[id] = oleanderline.Term(offset)
		case journal.KindSubmit:
			c.recorded[record.Job.ID] = true
		case journal.KindCancel:
			for _, job := range record.Jobs {
				c.cancelled[id][job] = true
			}
		case journal.KindAssign:
			if c.cancelled[id][jobOf(record.Task)] {
				c.void[oleanderline.AttemptKey{Task: record.Task, Attempt: record.Attempt}] = true
			}
		case journal.KindFree:
			if record.Checkpoint != "" {
				c.checkpoints[record.Task] = record.Checkpoint
			}
		case journal.KindDone, journal.KindFail:
			c.recordEnd(id, record)
		}
	}
}

func jobOf(task oleanderline.TaskID) oleanderline.JobID {
	job, _, _ := strings.Cut(string(task), "/")
	return oleanderline.JobID(job)
}

// checkStart checks a start request that the newest owner sends to a worker.
func (c *checker) checkStart(id int, start oleanderline.StartRequest) {
	if start.Term != c.terms[id] {
		return
	}
	if want := c.checkpoints[start.Task]; start.Checkpoint != want {
		c.addViolation("task %s attempt %d starts from checkpoint %q instead of %q", start.Task, start.Attempt, start.Checkpoint, want)
	}
	if c.void[oleanderline.AttemptKey{Task: start.Task, Attempt: start.Attempt}] {
		c.addViolation("task %s attempt %d starts although its job was cancelled before", start.Task, start.Attempt)
	}
}

// recordEnd counts the end of a task. A task must have at most one end in the stream of each shard that had the task.
func (c *checker) recordEnd(id int, record journal.Record) {
	if record.Kind == journal.KindFail && !record.Final {
		return
	}
	if before, ok := c.finished[id][record.Task]; ok {
		c.addViolation("task %s: %s recorded after %s in shard %d", record.Task, record.Kind, before, id)
	}
	c.finished[id][record.Task] = record.Kind
	if home, err := shard.ParseJobID(jobOf(record.Task)); err == nil && int(home) == id {
		c.ends[jobOf(record.Task)]++
	}
}

func (c *checker) answered(a shard.Answer) {
	job, ok := c.submits[a.Token]
	if !ok {
		return
	}
	switch a.Verdict {
	case shard.Accepted:
		if !c.recorded[job.ID] {
			c.addViolation("job %s accepted but not recorded", job.ID)
		}
		c.accepted[job.ID] = job
	case shard.NotRun, shard.NotOwner:
		c.pending[job.ID]--
	}
}

// checkCapacity checks after each step that no worker runs, or was asked to run, more than its capacity.
func (c *checker) checkCapacity() {
	for _, h := range c.sim.workers {
		if sum := h.Committed(); !sum.Fits(h.vm.Size) {
			c.addViolation("%s runs %s of %s", h.vm.ID, sum, h.vm.Size)
		}
		if n := h.CapacityRefusals(); n > 0 {
			c.addViolation("%s was asked %d times to run more than it holds", h.vm.ID, n)
		}
	}
}

// checkRuns checks the executions at all workers, including replaced ones. Every execution has a begin and an end time, so one
// check after the last step detects violations of all steps. A frozen VM runs nothing; if its leases expire meanwhile, the
// stand-in later sets the end of its tasks to the begin of the freeze.
func (c *checker) checkRuns() {
	var all []standin.Run
	for _, h := range c.sim.hosts {
		all = append(all, h.Runs()...)
	}
	for _, violation := range standin.Violations(all) {
		if !strings.Contains(violation, "completed twice") {
			c.addViolation("%s", violation)
		}
	}
	c.checkCompletions(all)
}

// checkCompletions checks that a task is completed again only if its first outcome could not be learned. That is so if,
// before the later attempt began, the worker that alone has the outcome was lost, or some process could not reach it for at
// least the lease duration.
func (c *checker) checkCompletions(runs []standin.Run) {
	first := map[oleanderline.TaskID]standin.Run{}
	slices.SortStableFunc(runs, func(a, b standin.Run) int { return a.Begin.Compare(b.Begin) })
	for _, run := range runs {
		if run.State != oleanderline.OutcomeDone {
			continue
		}
		if before, ok := first[run.Task]; ok && !c.sim.outOfReach(before.Worker, before.End, run.Begin) {
			c.addViolation("task %s: completed at %s and again at %s, although the first outcome could be read", run.Task, before.Worker, run.Worker)
		}
		first[run.Task] = run
	}
}

// unfinished returns the accepted jobs that are not finished. A job that the owner does not have either finished long ago or
// is lost; a lost job has tasks without a recorded end.
func (c *checker) unfinished() []string {
	var found []string
	for id, job := range c.accepted {
		status := c.status(id)
		switch {
		case status.Known && !status.Finished():
			found = append(found, fmt.Sprintf("job %s is not finished: %+v", id, status))
		case !status.Known && !c.wasCancelled(id) && c.ends[id] != job.Count:
			found = append(found, fmt.Sprintf("job %s is lost: %d of %d tasks have ended", id, c.ends[id], job.Count))
		}
	}
	slices.Sort(found)
	return found
}

func (c *checker) wasCancelled(id oleanderline.JobID) bool {
	home, err := shard.ParseJobID(id)
	return err == nil && c.cancelled[home][id]
}

func (c *checker) hasRunningTasks() bool {
	return slices.ContainsFunc(c.sim.hosts, func(h *host) bool { return h.Committed() != oleanderline.Size{} })
}

func (c *checker) idle() bool { return len(c.unfinished()) == 0 && !c.hasRunningTasks() }

// checkFinal checks the state at the end of the schedule: everything accepted is finished, and nothing answered as not run
// was recorded.
func (c *checker) checkFinal() {
	c.violations = append(c.violations, c.unfinished()...)
	for id, pending := range c.pending {
		if pending == 0 && c.recorded[id] {
			c.addViolation("job %s was refused as not run but is recorded", id)
		}
	}
	for _, h := range c.sim.hosts {
		if sum := h.Committed(); sum != (oleanderline.Size{}) {
			c.addViolation("%s still runs %s", h.vm.ID, sum)
		}
	}
}

// status returns the status of a job at the owner of its shard.
func (c *checker) status(id oleanderline.JobID) shard.JobStatus {
	n, err := shard.ParseJobID(id)
	if err != nil {
		panic(err)
	}
	for _, p := range c.sim.processes {
		if p.alive && p.cores[n].Owning() {
			return p.cores[n].JobStatus(id)
		}
	}
	return shard.JobStatus{ID: id, Known: true, Waiting: 1}
}
