package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/pairs"
	"github.com/oleanderline/oleanderline/pkg/ramp"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/speed"
)

// worker is what the leader knows about one worker.
type worker struct {
	entry       oleanderline.WorkerEntry
	inDirectory bool // it is in the platform's directory
	inherited   bool // an earlier leader may have started tasks on it
	tasksKnown  bool // inherited with a record that lists all tasks that may run on it
	useRecorded bool // the stored record says that any task may run on it
	// stored is whether a record may exist in the log. written is whether a record was handed out in this term, and
	// writtenUnreachable whether that record says that the worker is unreachable.
	stored, written, writtenUnreachable bool
	inLog                               bool // a record is in the log, unless one that was handed out since deletes it
	since                               int  // as in record.Worker

	reported      bool      // it has reported with all its ends in this term, or its earlier runs are known to have expired
	reportedAt    time.Time // time of its newest report
	callSentAt    time.Time // when the newest answered call was sent
	unreachable   bool      // its last call failed
	service       service
	incarnation   oleanderline.WorkerIncarnation
	evacuateBy    time.Time         // when its tasks have to be gone, while it drains or is vacated
	reserved      oleanderline.Size // reserved for tasks that move here
	reservedUntil time.Time
	vacating      bool       // its tasks move away for maintenance
	outOfService  bool       // operators have taken its failure domain out of service
	returnedAt    time.Time  // when its failure domain last returned to service
	ramp          *ramp.Ramp // bounds its load after that; nil if nothing does
	takenDown     bool       // its VM is about to go down, or has gone down since the incarnation that has reported last began
	processed     int64      // highest number of a processed end
	acked         int64      // highest number of a recorded end

	tasks            map[*task]struct{}
	servingImages    map[pairs.Image]int                     // number of long-running tasks with a tail latency target
	bestEffortImages map[pairs.Image]oleanderline.Millicores // declared by best-effort tasks
	leaving          map[pairs.Image]departure               // images of long-running tasks that move away to make room for best-effort tasks
	used             oleanderline.Size                       // committed to tasks; the CPU of best-effort tasks does not count
	servingCPU       oleanderline.Millicores                 // committed to long-running tasks with a tail latency target
	longRunningCPU   oleanderline.Millicores                 // committed to all long-running tasks
	bestEffortCPU    oleanderline.Millicores                 // declared by best-effort tasks
	adopted          int                                     // runs of earlier leaders that were adopted there
	unknownRuns      int                                     // reported runs that belong to no known task here
	unexpectedRuns   map[oleanderline.RunKey]struct{}        // those of them whose stop was ordered
	backoffUntil     time.Time                               // end of the backoff after a failed start
	health           health
	speed            speed.Worker
	slow             bool      // see Planner.noteSpeed
	slowdown         float64   // see Planner.slowdown
	slowdownIn       int64     // the pass in which it was computed
	endedSlowdowns   []float64 // of runs that have ended in the report that is processed

	throttle          throttleControl
	worstRatio        float64                   // highest ratio of a tail latency to its target in the newest report
	exposed           float64                   // see Planner.exposure
	exposedIn         int64                     // the pass in which it was computed; 0 if it has changed since
	overSince         time.Time                 // since when the ratio exceeds pauseRatio
	sampledAt         time.Time                 // when the learner last received a sample
	bestEffortMovedAt time.Time                 // when a best-effort task was last moved away
	bestEffortEndedAt map[pairs.Image]time.Time // when a best-effort task of an image last ended here
}

// free returns the capacity that is not committed.
func (w *worker) free() oleanderline.Size { return w.entry.Capacity.Sub(w.used) }

// SetWorkers replaces the list of workers in the platform's directory.
func (p *Planner) SetWorkers(entries []oleanderline.WorkerEntry, now time.Time) {
	listed := map[oleanderline.WorkerID]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		w := p.workers[entry.ID]
		if w == nil {
			w = p.addWorker(entry.ID)
		}
		if entry.Draining && !w.entry.Draining {
			w.evacuateBy = now.Add(entry.Remaining)
			p.note(NoteWorker, oleanderline.RunKey{}, w, "worker is draining")
		}
		w.entry = entry
		w.inDirectory = true
		p.updateDomain(w, now)
	}
	for id, w := range p.workers {
		if !listed[id] {
			w.inDirectory = false
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
	w.inherited, w.useRecorded = true, !rec.Unreachable
	w.tasksKnown = len(rec.Tasks) > 0 // an empty list is of a version that stored it without a report of the worker
	w.stored, w.inLog, w.since = true, true, rec.Since
	for _, key := range rec.Tasks {
		if t := p.task(key); t != nil {
			t.inheritedWorkers = append(t.inheritedWorkers, w)
		}
	}
	p.noteInherited(w, rec)
}

func (p *Planner) addWorker(id oleanderline.WorkerID) *worker {
	w := &worker{
		entry: oleanderline.WorkerEntry{ID: id}, tasks: map[*task]struct{}{}, throttle: newThrottleControl(),
		servingImages: map[pairs.Image]int{}, leaving: map[pairs.Image]departure{}, bestEffortImages: map[pairs.Image]oleanderline.Millicores{}, bestEffortEndedAt: map[pairs.Image]time.Time{},
	}
	p.workers[id] = w
	return w
}

// EachWorker calls visit with the id and address of every worker, listed or not, to which the leader has to keep a connection.
func (p *Planner) EachWorker(visit func(id oleanderline.WorkerID, address string)) {
	for id, w := range p.workers {
		visit(id, w.entry.Address)
	}
}

// WorkerCount returns the number of workers that Workers visits.
func (p *Planner) WorkerCount() int { return len(p.workers) }

// Acked returns the newest recorded end of a run on a worker.
func (p *Planner) Acked(id oleanderline.WorkerID) Acked {
	if w := p.workers[id]; w != nil {
		return Acked{Life: w.incarnation, Number: w.acked}
	}
	return Acked{}
}

// HasWorker reports whether the planner has a worker.
func (p *Planner) HasWorker(id oleanderline.WorkerID) bool { return p.workers[id] != nil }

// countImage adds the image of a task to those of the worker, or removes it if sign is -1. It does not count tasks other than
// best-effort tasks and long-running tasks with a target.
func (w *worker) countImage(t *task, sign int) {
	w.exposedIn = 0
	switch {
	case t.group.step.BestEffort:
		addToImage(w.bestEffortImages, imageOf(t), oleanderline.Millicores(sign)*max(1, t.group.step.Size.CPU))
	case t.group.step.TailTarget > 0:
		addToImage(w.servingImages, imageOf(t), sign)
	}
}

// addToImage adds to the value of an image, which leaves the map when the value becomes 0.
func addToImage[V int | oleanderline.Millicores](images map[pairs.Image]V, image pairs.Image, change V) {
	images[image] += change
	if images[image] == 0 {
		delete(images, image)
	}
}

// charge commits room on a worker to a task.
func (p *Planner) charge(t *task, w *worker) {
	t.worker = w
	w.tasks[t] = struct{}{}
	w.countImage(t, 1)
	t.group.job.placed++
	t.group.occurrence.placed++
	size := t.group.step.Size
	if t.group.step.BestEffort {
		w.bestEffortCPU += size.CPU
		size.CPU = 0
	}
	if t.group.step.TailTarget > 0 {
		w.servingCPU += size.CPU
	}
	if t.group.step.LongRunning {
		w.longRunningCPU += size.CPU
	}
	w.used = w.used.Add(size)
}

// release frees the room of a task whose run has ended, and queues the task again unless it is done.
func (p *Planner) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t)
	w.countImage(t, -1)
	t.worker = nil
	t.group.job.placed--
	t.group.occurrence.placed--
	size := t.group.step.Size
	if t.group.step.BestEffort {
		w.bestEffortEndedAt[imageOf(t)] = p.now
		w.bestEffortCPU -= size.CPU
		size.CPU = 0
	}
	if t.group.step.TailTarget > 0 {
		w.servingCPU -= size.CPU
	}
	if t.group.step.LongRunning {
		w.longRunningCPU -= size.CPU
	}
	w.used = w.used.Sub(size)
	if t.adopted {
		// An earlier leader may have seen the end of the run as well, if the worker has restarted, and have started the task elsewhere.
		t.adopted, t.unreported = false, true
	}
	t.state = taskIdle
	t.percent, t.gauge = 0, 0
	switch {
	case t.original != nil:
		t.original.speculative = nil
	case t.speculative != nil:
		p.promote(t)
	default:
		p.enqueue(t)
	}
}

// schedulable reports whether any new task may be placed on the worker.
func (w *worker) schedulable(now time.Time) bool {
	return w.inDirectory && w.describesIncarnation() && w.useRecorded && w.reported && w.service == serviceOpen && !w.unreachable && !w.evacuating() && !w.outOfService &&
		w.unknownRuns == 0 && !now.Before(w.backoffUntil) && w.health.admits(now)
}

// describesIncarnation reports whether the worker's entry in the directory is that of the incarnation that has reported last. Another one
// may be of another kind and size. An entry that names no incarnation counts as that of any.
func (w *worker) describesIncarnation() bool {
	return w.entry.Incarnation == 0 || w.entry.Incarnation == w.incarnation
}

// backOff lets no task start on the worker until end, or until the end of an earlier backoff that is later.
func (w *worker) backOff(end time.Time) { w.backoffUntil = common.Later(w.backoffUntil, end) }

// matches reports whether the worker is in the pool of the group's queue and has the label that the step requires.
func (w *worker) matches(g *group) bool {
	return w.entry.Pool == g.job.queue.Pool && (g.step.Label == "" || slices.Contains(w.entry.Labels, g.step.Label))
}

// onWorker returns the number of tasks of a group that hold room on a worker.
func (g *group) onWorker(w *worker) int {
	count := 0
	for i := range g.tasks {
		if g.tasks[i].runningOn(w) != nil {
			count++
		}
	}
	return count
}
