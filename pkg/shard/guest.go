package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
)

// guest is what a shard knows about tasks that it took from another shard. They do not move on.
type guest struct {
	home  oleanderline.ShardID
	taken map[int]bool      // tasks that were ever accepted, so that a late offer is not taken twice
	ends  map[int]*guestEnd // not yet recorded at home
}

type guestEnd struct {
	End

	keptAt  time.Time
	settled bool // the settle record is on its way; known to the owner only
}

func newGuest(home oleanderline.ShardID) *guest {
	return &guest{home: home, taken: map[int]bool{}, ends: map[int]*guestEnd{}}
}

// reset forgets what only an owner knows.
func (g *guest) reset() {
	if g == nil {
		return
	}
	for _, end := range g.ends {
		end.settled = false
	}
}

// offered takes tasks of another shard, or says that they are taken already.
func (c *Core) offered(e Offer) {
	if !c.owning {
		c.answer(e.Token, NotOwner, "another process owns the shard")
		return
	}
	if e.Term < c.terms[e.From] {
		// It may have been on its way for long, and its tasks may have ended here and be forgotten.
		c.answer(e.Token, NotRun, "a newer owner has claimed the home shard")
		return
	}
	all := true
	for _, moved := range e.Tasks {
		all = c.take(moved) && all
	}
	c.answerLink(e.Token, all)
}

// noteTerms keeps the newest term of each shard.
func (c *Core) noteTerms(terms map[oleanderline.ShardID]oleanderline.Term) {
	if c.terms == nil {
		c.terms = map[oleanderline.ShardID]oleanderline.Term{}
	}
	for id, term := range terms {
		c.terms[id] = max(c.terms[id], term)
	}
}

// take reports whether the task is recorded here, and with its cancellation if it is cancelled.
func (c *Core) take(moved MovedTask) bool {
	j := c.jobs[moved.Job.ID]
	if j == nil || !j.guest.taken[moved.Task.Index] {
		id := taskID(moved.Job.ID, moved.Task.Index)
		if c.accepting[id] {
			return false
		}
		if c.accepting == nil {
			c.accepting = map[oleanderline.TaskID]bool{}
		}
		c.accepting[id] = true
		spec := moved.Job
		c.record(spec.Urgent, journal.Record{Kind: journal.KindAccept, Job: &spec, Tasks: []journal.KeptTask{moved.Task}})
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
		delete(c.accepting, taskID(j.ID, kept.Index))
		if !c.missing(j, kept, at) {
			continue
		}
		if t := c.addKept(j, kept, at); t.cancelled {
			c.cancelTask(t, at)
		}
	}
}

// missing reports whether a kept or accepted task must be added, and takes note of it or of its end.
func (c *Core) missing(j *job, kept journal.KeptTask, at time.Time) bool {
	g := j.guest
	if g.taken[kept.Index] {
		if end := g.ends[kept.Index]; end != nil {
			end.keptAt = at
		}
		return false
	}
	g.taken[kept.Index] = true
	if kept.End == "" {
		return true
	}
	g.ends[kept.Index] = &guestEnd{
		End: End{
			Task: taskID(j.ID, kept.Index), Attempt: kept.Attempt, At: kept.At, Kind: kept.End, Reason: kept.Reason, Ran: kept.Ran,
		},
		keptAt: at,
	}
	return false
}

// report puts the ends of a guest job into the next message to its home.
func (c *Core) report(j *job) {
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
		if l := c.pendingLink(linkKey{shard: j.guest.home, report: true}); l != nil {
			l.ends = append(l.ends, end.End)
		}
	}
}

// settle records that the home shard knows the ends.
func (c *Core) settle(ends []End) {
	for _, end := range ends {
		id, index, err := splitTaskID(end.Task)
		j := c.jobs[id]
		if err != nil || j == nil || j.guest == nil || j.guest.ends[index] == nil {
			continue
		}
		j.guest.ends[index].settled = true
		c.record(false, journal.Record{
			Kind: journal.KindSettle, Jobs: []oleanderline.JobID{id}, Tasks: []journal.KeptTask{{Index: index}},
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

// finished reports whether the stream holds nothing of the job that is still needed.
func (j *job) finished() bool {
	return len(j.tasks) == 0 && (j.guest == nil || len(j.guest.ends) == 0)
}

// keptEnds returns the ends that must be appended again.
func (g *guest) keptEnds(limit time.Time) []journal.KeptTask {
	if g == nil {
		return nil
	}
	var tasks []journal.KeptTask
	for index, end := range g.ends {
		if !end.settled && end.keptAt.Before(limit) {
			tasks = append(tasks, journal.KeptTask{
				Index: index, Attempt: end.Attempt, At: end.At, End: end.Kind, Reason: end.Reason, Ran: end.Ran,
			})
		}
	}
	slices.SortFunc(tasks, func(a, b journal.KeptTask) int { return a.Index - b.Index })
	return tasks
}
