package plan

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// NoteKind is the kind of a decision.
type NoteKind int

// Kinds of notes.
const (
	NoteStart           NoteKind = iota // a start was ordered
	NoteEnd                             // a worker reported the end of a run; the reason is how it ended
	NoteStop                            // a stop was ordered, or a start failed
	NoteLost                            // a run counts as ended without a report of its end
	NoteJob                             // a job ended; the reason is its final state
	NoteWorker                          // the state of a worker changed
	NoteThrottle                        // a throttle was ordered; the reason is its percentage of full speed
	NoteUnexpected                      // the stop of a run was ordered that a worker reports and the leader does not expect there
	NoteInherited                       // workers whose records were read when the term began
	NoteFirstReport                     // workers that have reported for the first time in this term
	NoteEmpty                           // workers that count as empty although they have not reported in this term
	NoteRecord                          // workers whose records are about to be stored or deleted
	NoteTakeover                        // a restriction on starts after a change of leader has ended
	NoteDomainAwaited                   // a step begins to wait for failure domains that are out of service
	NoteDomainAwaitEnds                 // a step no longer waits for them
	NoteDomainUnknown                   // a failure domain that is out of service has no worker in the directory

	NoteCopy        // a speculative copy was started; the reason compares it with the other run of the task
	NoteSpeed       // a worker has become slow, or is no longer slow
	NoteBreakerOpen // every run of a step has failed, so its tasks run a few at a time
	NoteBreakerShut // a run has completed a task of such a step, so its tasks run as usual again
)

// Note is a decision or state change that the caller logs.
type Note struct {
	Kind   NoteKind
	Run    oleanderline.RunKey
	Worker oleanderline.WorkerID
	View   WorkerView // of Worker
	Reason string
	// Waited is how long a started task was ready, and Obstacle why its step last found no worker, "" if it always found one.
	Waited   time.Duration
	Obstacle string
	TaskKind string        // of a started task: "long-running", "best-effort" or "batch"
	Failure  *StartFailure // of a start that failed
	Loss     *Loss         // of a NoteLost
	Expected *Placement    // of a NoteUnexpected; nil if the leader does not know the task
	Workers  []WorkerFact  // of a note about several workers; at most maxWorkersPerNote
	Takeover *TakeoverState
	After    time.Duration // of a NoteTakeover: since the start of the term
}

// WorkerView is what the leader knows about a worker when it decides.
type WorkerView struct {
	Reported     bool          // it has reported in this term
	Age          time.Duration // since its newest report, if it has reported
	AssumedEmpty bool          // it has not reported; the runs of earlier leaders there count as expired
	Inherited    bool          // its record was read when the term began
	TasksListed  bool          // that record lists the only tasks that may run there
	Unreachable  bool          // its last call failed
}

// String returns the view as a list of words for the log.
func (v WorkerView) String() string {
	s := "unreported"
	switch {
	case v.Reported:
		s = "reported"
	case v.AssumedEmpty:
		s = "unreported,empty"
	}
	if v.Inherited {
		s += ",inherited"
	}
	if v.TasksListed {
		s += ",listed"
	}
	if v.Unreachable {
		s += ",unreachable"
	}
	return s
}

// view returns what is known about the worker.
func (w *worker) view(now time.Time) WorkerView {
	v := WorkerView{Reported: !w.reportedAt.IsZero(), Inherited: w.inherited, TasksListed: w.tasksKnown, Unreachable: w.unreachable}
	if v.Reported {
		v.Age = now.Sub(w.reportedAt)
	}
	v.AssumedEmpty = w.reported && !v.Reported
	return v
}

// StartFailure is the outcome of a start that failed.
type StartFailure struct {
	Attempts int
	Took     time.Duration // see Result.Took
	// Released is whether the leader considers the run not started. Otherwise it orders a stop, whose answer decides.
	Released bool
}

// Loss holds the facts from which the leader concludes that a run has ended. A time is zero if it plays no part.
type Loss struct {
	Adopted     bool      // the run was started by an earlier leader
	Stopping    bool      // its stop was ordered
	StartedAt   time.Time // when its start was decided or it was adopted
	AnsweredAt  time.Time // when the worker answered its start or stop, or it was adopted
	RequestedAt time.Time // when the report that misses it was requested
	LeaseEnd    time.Time // when its lease expired, as computed by the process that serves the worker
}

// Placement is the run of a task that the leader expects, and its worker; "" if none.
type Placement struct {
	Run    int
	Worker oleanderline.WorkerID
	Over   bool // the task is done, or its job has ended or was cancelled
}

func (p *Planner) note(kind NoteKind, run oleanderline.RunKey, w *worker, reason string) {
	p.addNote(Note{Kind: kind, Run: run, Reason: reason}, w)
}

// addNote adds a note about a worker, which may be nil.
func (p *Planner) addNote(n Note, w *worker) {
	if w != nil {
		n.Worker, n.View = w.entry.ID, w.view(p.now)
	}
	p.notes = append(p.notes, n)
}

// noteLost notes that a task's run counts as ended.
func (p *Planner) noteLost(t *task, reason string, loss Loss) {
	loss.Adopted, loss.Stopping = t.adopted, t.state == taskStopping
	loss.StartedAt, loss.AnsweredAt = t.startedAt, t.answeredAt
	p.addNote(Note{Kind: NoteLost, Run: t.runKey(), Reason: reason, Loss: &loss}, t.worker)
}

// noteUnexpected records and notes the stop of a run that a worker reports and the leader does not expect there, unless the worker's previous
// report caused the same note. t is nil if the task is unknown.
func (p *Planner) noteUnexpected(w *worker, key oleanderline.RunKey, t *task, notedBefore map[oleanderline.RunKey]struct{}) {
	if w.unexpectedRuns == nil {
		w.unexpectedRuns = map[oleanderline.RunKey]struct{}{}
	}
	if _, listed := w.unexpectedRuns[key]; !listed {
		w.unexpectedRuns[key] = struct{}{}
		p.unexpected[key.Task]++
	}
	if _, noted := notedBefore[key]; noted {
		return
	}
	n := Note{Kind: NoteUnexpected, Run: key, Reason: "stopping a run that is not expected on the worker"}
	if t != nil {
		n.Expected = &Placement{Run: t.run, Over: t.done || !t.group.job.active()}
		if t.worker != nil {
			n.Expected.Worker = t.worker.entry.ID
		}
	}
	p.addNote(n, w)
}

// OpenRuns returns the runs whose start has no result yet, and those whose stop has no answer yet.
func (p *Planner) OpenRuns() (starts, stops []oleanderline.RunKey) {
	for _, w := range p.workers {
		for t := range w.tasks {
			switch {
			case t.state == taskStarting:
				starts = append(starts, t.runKey())
			case t.state == taskStopping && t.answeredAt.IsZero():
				stops = append(stops, t.runKey())
			}
		}
	}
	return starts, stops
}
