package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// guest holds what a shard needs about the tasks of one job that it took from the job's home shard. Such tasks do not move
// again.
type guest struct {
	home     oleanderline.ShardID
	accepted map[int]bool      // tasks that were ever accepted, so that a late copy of an offer is not accepted twice
	ends     map[int]*guestEnd // ends that the home shard has not recorded yet
}

type guestEnd struct {
	End

	fullRecordAt time.Time
	settled      bool // the settle record is queued; only the owner sets it
}

func newGuest(home oleanderline.ShardID) *guest {
	return &guest{home: home, accepted: map[int]bool{}, ends: map[int]*guestEnd{}}
}

// reset clears the state that only an owner has.
func (g *guest) reset() {
	if g == nil {
		return
	}
	for _, end := range g.ends {
		end.settled = false
	}
}

// handleOffer records tasks of another shard, or answers that they are recorded already.
func (c *Core) handleOffer(e Offer) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard")
		return
	}
	if e.Term < c.terms[e.From] {
		// The offer may have been delayed for long, and its tasks may have ended here and been dropped since.
		c.answer(e.Token, NotRun, "a newer owner has claimed the home shard")
		return
	}
	all := true
	for _, moved := range e.Tasks {
		all = c.acceptTask(moved) && all
	}
	c.answerTransfer(e.Token, all)
}

// recordTerms records the newest term of each shard.
func (c *Core) recordTerms(terms map[oleanderline.ShardID]oleanderline.Term) {
	if c.terms == nil {
		c.terms = map[oleanderline.ShardID]oleanderline.Term{}
	}
	for id, term := range terms {
		c.terms[id] = max(c.terms[id], term)
	}
}

// acceptTask reports whether the task is recorded here, including its cancellation if it is cancelled. If not, it queues the
// missing record.
func (c *Core) acceptTask(moved MovedTask) bool {
	j := c.jobs[moved.Job.ID]
	if j == nil || !j.guest.accepted[moved.Task.Index] {
		id := taskID(moved.Job.ID, moved.Task.Index)
		if c.pendingAccepts[id] {
			return false
		}
		if c.pendingAccepts == nil {
			c.pendingAccepts = map[oleanderline.TaskID]bool{}
		}
		c.pendingAccepts[id] = true
		spec := moved.Job
		c.record(spec.Urgent, journal.Record{Kind: journal.KindAccept, Job: &spec, Tasks: []journal.TaskState{moved.Task}})
		return false
	}
	t := j.tasks[moved.Task.Index]
	if t == nil || t.cancelled || !moved.Task.Cancelled {
		return true
	}
	if !j.cancelPending {
		j.cancelPending = true
		c.record(false, journal.Record{Kind: journal.KindCancel, Jobs: []oleanderline.JobID{j.ID}})
	}
	return false
}

func (c *Core) applyAccept(record journal.Record, at time.Time) {
	if record.Job == nil {
		return
	}
	j := c.jobs[record.Job.ID]
	if j == nil {
		j = c.addJob(*record.Job)
	}
	if j.guest == nil {
		return
	}
	for _, kept := range record.Tasks {
		delete(c.pendingAccepts, taskID(j.ID, kept.Index))
		if !c.markAccepted(j, kept, at) {
			continue
		}
		if t := c.addKept(j, kept, at); t.cancelled {
			c.cancelTask(t, at)
		}
	}
}

// markAccepted reports whether a kept or accepted task must be added, and marks it as accepted. If the task has ended
// already, it only stores its end.
func (c *Core) markAccepted(j *job, kept journal.TaskState, at time.Time) bool {
	g := j.guest
	if g.accepted[kept.Index] {
		if end := g.ends[kept.Index]; end != nil {
			end.fullRecordAt = at
		}
		return false
	}
	g.accepted[kept.Index] = true
	if kept.End == "" {
		return true
	}
	g.ends[kept.Index] = &guestEnd{
		End: End{
			Task: taskID(j.ID, kept.Index), Attempt: kept.Attempt, At: kept.At, Kind: kept.End, Reason: kept.Reason, Ran: kept.Ran,
		},
		fullRecordAt: at,
	}
	return false
}

// reportEnds adds the ends of a guest job to the next message to its home shard.
func (c *Core) reportEnds(j *job) {
	indexes := make([]int, 0, len(j.guest.ends))
	for index := range j.guest.ends {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	for _, index := range indexes {
		end := j.guest.ends[index]
		if end.settled {
			continue
		}
		if m := c.openMessage(transferKey{shard: j.guest.home, report: true}); m != nil {
			m.ends = append(m.ends, end.End)
		}
	}
}

// settle queues the records that the home shard has recorded the ends.
func (c *Core) settle(ends []End) {
	for _, end := range ends {
		id, index, err := splitTaskID(end.Task)
		j := c.jobs[id]
		if err != nil || j == nil || j.guest == nil || j.guest.ends[index] == nil {
			continue
		}
		j.guest.ends[index].settled = true
		c.record(false, journal.Record{
			Kind: journal.KindSettle, Jobs: []oleanderline.JobID{id}, Tasks: []journal.TaskState{{Index: index}},
		})
	}
}

func (c *Core) applySettle(record journal.Record, at time.Time) {
	for _, id := range record.Jobs {
		j := c.jobs[id]
		if j == nil || j.guest == nil {
			continue
		}
		for _, kept := range record.Tasks {
			delete(j.guest.ends, kept.Index)
		}
		if j.finished() {
			j.finishedAt = at
		}
	}
}

// finished reports whether the job has no more tasks and no unsettled ends here, so that its records are not needed any
// more.
func (j *job) finished() bool {
	return len(j.tasks) == 0 && (j.guest == nil || len(j.guest.ends) == 0)
}

// endsToRefresh returns the ends whose last full record is older than the limit.
func (g *guest) endsToRefresh(limit time.Time) []journal.TaskState {
	if g == nil {
		return nil
	}
	var tasks []journal.TaskState
	for index, end := range g.ends {
		if !end.settled && end.fullRecordAt.Before(limit) {
			tasks = append(tasks, journal.TaskState{
				Index: index, Attempt: end.Attempt, At: end.At, End: end.Kind, Reason: end.Reason, Ran: end.Ran,
			})
		}
	}
	slices.SortFunc(tasks, func(a, b journal.TaskState) int { return a.Index - b.Index })
	return tasks
}
