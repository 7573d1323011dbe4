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

// checker knows every entry that was ever appended and every answer to a caller. It has its own reading of the stream,
// so that a fault in the journal does not hide itself.
type checker struct {
	world    *world
	terms    [worldShards]oleanderline.Term
	seqs     [worldShards]map[oleanderline.WriterID]journal.Seq
	recorded map[oleanderline.JobID]bool
	finished [worldShards]map[oleanderline.TaskID]journal.Kind
	accepted map[oleanderline.JobID]journal.Job
	submits  map[shard.Token]journal.Job
	open     map[oleanderline.JobID]int // submissions that were not refused as not run
	ends     map[oleanderline.JobID]int // tasks that are done or have failed for good
	// checkpoints are what the next attempt of a task must resume from.
	checkpoints map[oleanderline.TaskID]string
	void        map[oleanderline.AttemptKey]bool // assigned after the cancellation of their job
	// cancelled are the jobs with a recorded cancellation.
	cancelled [worldShards]map[oleanderline.JobID]bool
	faults    []string
}

func newChecker(w *world) *checker {
	c := &checker{
		world: w, recorded: map[oleanderline.JobID]bool{},
		accepted: map[oleanderline.JobID]journal.Job{}, submits: map[shard.Token]journal.Job{},
		open: map[oleanderline.JobID]int{}, ends: map[oleanderline.JobID]int{},
		checkpoints: map[oleanderline.TaskID]string{}, void: map[oleanderline.AttemptKey]bool{},
	}
	for i := range c.seqs {
		c.seqs[i] = map[oleanderline.WriterID]journal.Seq{}
		c.finished[i] = map[oleanderline.TaskID]journal.Kind{}
		c.cancelled[i] = map[oleanderline.JobID]bool{}
	}
	return c
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// appended follows the stream: groups of older terms and second copies do not count.
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
			c.end(id, record)
		}
	}
}

func jobOf(task oleanderline.TaskID) oleanderline.JobID {
	job, _, _ := strings.Cut(string(task), "/")
	return oleanderline.JobID(job)
}

// starting checks what the newest owner asks a worker to start.
func (c *checker) starting(id int, start oleanderline.StartRequest) {
	if start.Term != c.terms[id] {
		return
	}
	if want := c.checkpoints[start.Task]; start.Checkpoint != want {
		c.fault("task %s attempt %d starts from checkpoint %q instead of %q", start.Task, start.Attempt, start.Checkpoint, want)
	}
	if c.void[oleanderline.AttemptKey{Task: start.Task, Attempt: start.Attempt}] {
		c.fault("task %s attempt %d starts although its job was cancelled before", start.Task, start.Attempt)
	}
}

// end counts a completion. Only the last attempt of a task can have one, in the stream of each shard that had the task.
func (c *checker) end(id int, record journal.Record) {
	if record.Kind == journal.KindFail && !record.Final {
		return
	}
	if before, ok := c.finished[id][record.Task]; ok {
		c.fault("task %s: %s recorded after %s in shard %d", record.Task, record.Kind, before, id)
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
			c.fault("job %s accepted but not recorded", job.ID)
		}
		c.accepted[job.ID] = job
	case shard.NotRun, shard.NotOwner:
		c.open[job.ID]--
	}
}

// step checks what must hold at every moment.
func (c *checker) step() {
	for _, h := range c.world.workers {
		if sum := h.Committed(); !sum.Fits(h.vm.Size) {
			c.fault("%s runs %s of %s", h.vm.ID, sum, h.vm.Size)
		}
		if n := h.CapacityRefusals(); n > 0 {
			c.fault("%s was asked %d times to run more than it holds", h.vm.ID, n)
		}
	}
}

// runs checks the executions of all workers, living and dead. Each has its begin and its end, so that a check after the
// last step sees what was wrong after any step. A frozen VM is not running anything; when its leases have run out
// meanwhile, the stand-in enters the beginning of the freeze as the end of its tasks afterwards.
func (c *checker) runs() {
	var all []standin.Run
	for _, h := range c.world.hosts {
		all = append(all, h.Runs()...)
	}
	for _, violation := range standin.Violations(all) {
		if !strings.Contains(violation, "completed twice") {
			c.fault("%s", violation)
		}
	}
	c.completions(all)
}

// completions checks that a task is completed again only if its first outcome could not be learned: it is known only at
// the worker, which was lost, or out of reach of some process for a lease or longer, before the later attempt began.
func (c *checker) completions(runs []standin.Run) {
	first := map[oleanderline.TaskID]standin.Run{}
	slices.SortStableFunc(runs, func(a, b standin.Run) int { return a.Begin.Compare(b.Begin) })
	for _, run := range runs {
		if run.State != oleanderline.OutcomeDone {
			continue
		}
		if before, ok := first[run.Task]; ok && !c.world.outOfReach(before.Worker, before.End, run.Begin) {
			c.fault("task %s: completed at %s and again at %s, although the first could be asked", run.Task, before.Worker, run.Worker)
		}
		first[run.Task] = run
	}
}

// unfinished returns the accepted jobs that are not finished. A job that the owner does not know finished long ago, or
// is lost: then its tasks have no recorded end.
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

func (c *checker) running() bool {
	return slices.ContainsFunc(c.world.hosts, func(h *host) bool { return h.Committed() != oleanderline.Size{} })
}

func (c *checker) idle() bool { return len(c.unfinished()) == 0 && !c.running() }

// settled checks the end of the schedule: everything accepted is finished, and nothing refused was recorded.
func (c *checker) settled() {
	c.faults = append(c.faults, c.unfinished()...)
	for id, open := range c.open {
		if open == 0 && c.recorded[id] {
			c.fault("job %s was refused as not run but is recorded", id)
		}
	}
	for _, h := range c.world.hosts {
		if sum := h.Committed(); sum != (oleanderline.Size{}) {
			c.fault("%s still runs %s", h.vm.ID, sum)
		}
	}
}

// status returns what the owner knows.
func (c *checker) status(id oleanderline.JobID) shard.JobStatus {
	n, err := shard.ParseJobID(id)
	if err != nil {
		panic(err)
	}
	for _, p := range c.world.processes {
		if p.alive && p.cores[n].Owning() {
			return p.cores[n].JobStatus(id)
		}
	}
	return shard.JobStatus{ID: id, Known: true, Waiting: 1}
}
