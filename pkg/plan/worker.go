package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/record"
)

type worker struct {
	entry     oleanderline.WorkerEntry
	listed    bool // the directory has it
	inherited bool // an earlier leader may have started tasks on it
	limited   bool // an earlier leader has recorded which tasks alone may run on it
	recorded  bool // it is stored that any task may run on it
	// stored, written and writtenSilent tell which record was handed out last.
	stored, written, writtenSilent bool

	reported      bool      // it has reported in this term
	heard         time.Time // when it reported last
	asked         time.Time // when the call was sent that it answered last
	silent        bool      // its last call failed
	life          oleanderline.WorkerLife
	leavesAt      time.Time         // while it drains or is vacated
	promised      oleanderline.Size // to tasks that move here
	promisedUntil time.Time
	vacating      bool  // it is to become empty for maintenance
	cleared       bool  // lasting tasks are to leave it to fillers
	seen          int64 // the highest number of an end that was taken in
	acked         int64 // the highest number that is recorded

	tasks      map[*task]struct{}
	lasting    map[pairs.Image]int     // its lasting tasks with a target
	fillers    map[pairs.Image]int     // its fillers
	used       oleanderline.Size       // of the tasks that count against its capacity
	serving    oleanderline.Millicores // of the lasting tasks with a target
	lastingCPU oleanderline.Millicores // of all lasting tasks
	filling    oleanderline.Millicores // declared need of the fillers on it
	strangers  int                     // runs that belong to no task that is known
	fullUntil  time.Time
	health     health

	pace   paceControl
	ratio  float64                   // the highest ratio of a tail to its target in the newest report
	over   time.Time                 // since when the ratio is too high (paceOver)
	looked time.Time                 // when tails counted as evidence last
	moved  time.Time                 // when a filler was moved away last
	left   map[pairs.Image]time.Time // when fillers of an image left last
}

// free returns what is not committed.
func (w *worker) free() oleanderline.Size { return w.entry.Capacity.Sub(w.used) }

// SetWorkers takes over the directory.
func (p *Planner) SetWorkers(entries []oleanderline.WorkerEntry, now time.Time) {
	listed := map[oleanderline.WorkerID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		w := p.workers[entry.ID]
		if w == nil {
			w = p.addWorker(entry.ID)
		}
		if entry.Draining && !w.entry.Draining {
			w.leavesAt = now.Add(entry.Leaving)
			p.note(NoteWorker, oleanderline.RunKey{}, w, "drains")
		}
		w.entry = entry
		w.listed = true
	}
	for id, w := range p.workers {
		if !listed[id] {
			w.listed = false
		}
	}
}

// InheritWorker adds a worker on which an earlier leader may have started tasks.
func (p *Planner) InheritWorker(rec record.Worker) {
	w := p.workers[rec.ID]
	if w == nil {
		w = p.addWorker(rec.ID)
		w.entry.Address = rec.Address
	}
	w.inherited, w.limited, w.recorded = true, rec.Silent, !rec.Silent
	w.stored = true
	for _, key := range rec.Tasks {
		if t := p.task(key); t != nil {
			t.suspect = w
		}
	}
}

func (p *Planner) addWorker(id oleanderline.WorkerID) *worker {
	w := &worker{
		entry: oleanderline.WorkerEntry{ID: id}, tasks: map[*task]struct{}{}, pace: newPaceControl(),
		lasting: map[pairs.Image]int{}, fillers: map[pairs.Image]int{}, left: map[pairs.Image]time.Time{},
	}
	p.workers[id] = w
	return w
}

// Workers calls visit with the id and address of every worker that has to be called.
func (p *Planner) Workers(visit func(id oleanderline.WorkerID, address string)) {
	for id, w := range p.workers {
		visit(id, w.entry.Address)
	}
}

// WorkerCount returns how many workers have to be called.
func (p *Planner) WorkerCount() int { return len(p.workers) }

// Acked returns which ends of a worker are recorded.
func (p *Planner) Acked(id oleanderline.WorkerID) Acked {
	if w := p.workers[id]; w != nil {
		return Acked{Life: w.life, Number: w.acked}
	}
	return Acked{}
}

// Knows reports whether the planner has a worker.
func (p *Planner) Knows(id oleanderline.WorkerID) bool { return p.workers[id] != nil }

// Silent tells that a call to a worker has failed.
func (p *Planner) Silent(id oleanderline.WorkerID) {
	w := p.workers[id]
	if w == nil || w.silent {
		return
	}
	w.silent = true
	p.note(NoteWorker, oleanderline.RunKey{}, w, "does not answer")
}

// Lapsed tells that the deadline of everything on a worker has passed.
func (p *Planner) Lapsed(id oleanderline.WorkerID, now time.Time) {
	p.now = now
	w := p.workers[id]
	if w == nil {
		return
	}
	w.reported = true // whatever an earlier leader has started there has lapsed as well
	p.loseAll(w, "deadline passed")
}

// loseAll releases the tasks of a worker, except those whose start is still being ordered: its result decides.
func (p *Planner) loseAll(w *worker, reason string) {
	for t := range w.tasks {
		if t.state == taskStarting {
			continue
		}
		p.note(NoteLost, t.runKey(), w, reason)
		p.release(t)
	}
}

// count keeps the numbers of tasks by image.
func (w *worker) count(t *task, change int) {
	images := w.lasting
	switch {
	case t.group.step.Filler:
		images = w.fillers
	case t.group.step.TailTarget == 0:
		return
	}
	image := imageOf(t)
	images[image] += change
	if images[image] == 0 {
		delete(images, image)
	}
}

// charge commits room on a worker to a task.
func (p *Planner) charge(t *task, w *worker) {
	t.worker = w
	w.tasks[t] = struct{}{}
	w.count(t, 1)
	t.group.job.charged++
	size := t.group.step.Size
	if t.group.step.Filler {
		w.filling += size.CPU
		size.CPU = 0
	}
	if t.group.step.TailTarget > 0 {
		w.serving += size.CPU
	}
	if t.group.step.Lasting {
		w.lastingCPU += size.CPU
	}
	w.used = w.used.Add(size)
}

// release frees the room of a task whose run is over, and queues the task again unless it is done.
func (p *Planner) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t)
	w.count(t, -1)
	t.worker = nil
	t.group.job.charged--
	size := t.group.step.Size
	if t.group.step.Filler {
		w.left[imageOf(t)] = p.now
		w.filling -= size.CPU
		size.CPU = 0
	}
	if t.group.step.TailTarget > 0 {
		w.serving -= size.CPU
	}
	if t.group.step.Lasting {
		w.lastingCPU -= size.CPU
	}
	w.used = w.used.Sub(size)
	t.state = taskIdle
	t.percent, t.gauge = 0, 0
	p.queue(t)
}

// usable reports whether new tasks may be placed on the worker at all.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.recorded && w.reported && !w.silent && !w.leaves() && w.strangers == 0 &&
		!now.Before(w.fullUntil) && w.health.admits(now)
}

// suits reports whether the worker meets what a step requires of any worker.
func (w *worker) suits(g *group) bool {
	return w.entry.Pool == g.job.queue.Pool && (g.step.Label == "" || slices.Contains(w.entry.Labels, g.step.Label))
}

// onWorker counts the tasks of a group on a worker.
func (g *group) onWorker(w *worker) int {
	count := 0
	for i := range g.tasks {
		if g.tasks[i].worker == w {
			count++
		}
	}
	return count
}
