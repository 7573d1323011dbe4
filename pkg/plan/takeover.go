package plan

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	// maxWorkersPerNote bounds the workers in one note, because all workers of a cell report at once to a new leader.
	maxWorkersPerNote = 50
	// maxNoteDelay is how long a note about several workers waits for more of them.
	maxNoteDelay = 250 * time.Millisecond
)

// WorkerFact is what a note about several workers says about one of them. Fields that do not apply are zero.
type WorkerFact struct {
	ID    oleanderline.WorkerID
	Life  oleanderline.WorkerIncarnation // of a worker that has reported for the first time
	View  WorkerView
	After time.Duration // since the start of the term
	// ListsTasks is whether its record says that it is unreachable and lists the only tasks that may run there, Tasks of them.
	ListsTasks bool
	Tasks      int
	Adopted    int // runs of earlier leaders that it has reported and the leader has adopted
	Unknown    int // runs that it has reported and the leader has not adopted
}

// TakeoverState counts the inherited workers.
type TakeoverState struct {
	Inherited int // all
	Listed    int // those whose record lists the only tasks there; no start waits for them, except of these tasks
	Reported  int // those that have reported in this term
	Empty     int // those that have not reported and count as empty
	Waiting   int // the others
}

// noteBatch collects the facts of a note about several workers.
type noteBatch struct {
	kind   NoteKind
	reason string
	since  time.Time
	facts  []WorkerFact
}

// addFact adds a worker to the next note of a kind with a reason.
func (p *Planner) addFact(kind NoteKind, reason string, fact WorkerFact) {
	i := slices.IndexFunc(p.batches, func(b *noteBatch) bool { return b.kind == kind && b.reason == reason })
	if i < 0 {
		p.batches = append(p.batches, &noteBatch{kind: kind, reason: reason, since: p.now})
		i = len(p.batches) - 1
	}
	b := p.batches[i]
	b.facts = append(b.facts, fact)
	if len(b.facts) >= maxWorkersPerNote {
		p.emit(b)
		p.batches = slices.Delete(p.batches, i, i+1)
	}
}

func (p *Planner) emit(b *noteBatch) {
	p.notes = append(p.notes, Note{Kind: b.kind, Reason: b.reason, Workers: b.facts})
}

// emitDue emits the notes about several workers that have waited for maxNoteDelay.
func (p *Planner) emitDue(now time.Time) {
	p.batches = slices.DeleteFunc(p.batches, func(b *noteBatch) bool {
		due := now.Sub(b.since) >= maxNoteDelay
		if due {
			p.emit(b)
		}
		return due
	})
}

// LastNotes returns all remaining notes at the end of the term.
func (p *Planner) LastNotes() []Note {
	for _, b := range p.batches {
		p.emit(b)
	}
	p.batches = nil
	return p.Notes()
}

func (p *Planner) noteInherited(w *worker, rec record.Worker) {
	reason := "inherited workers on which any task may run"
	if rec.Unreachable {
		reason = "inherited workers that were recorded as unreachable"
	}
	p.addFact(NoteInherited, reason, WorkerFact{ID: w.entry.ID, View: w.view(p.now), ListsTasks: rec.Unreachable, Tasks: len(rec.Tasks)})
}

// noteRecord notes a record of a worker that is about to be stored.
func (p *Planner) noteRecord(w *worker, rec record.Worker) {
	reason := "workers recorded as in use"
	if rec.Unreachable {
		reason = "workers recorded as unreachable"
	}
	p.addFact(NoteRecord, reason, WorkerFact{
		ID: w.entry.ID, View: w.view(p.now), After: p.now.Sub(p.termStart), ListsTasks: rec.Unreachable, Tasks: len(rec.Tasks),
	})
}

// noteDrop notes that the record of a worker is about to be deleted.
func (p *Planner) noteDrop(w *worker) {
	p.addFact(NoteRecord, "records of unreachable workers without tasks deleted", WorkerFact{ID: w.entry.ID, View: w.view(p.now), After: p.now.Sub(p.termStart)})
}

// noteFirstReport notes the first report of a worker in this term.
func (p *Planner) noteFirstReport(w *worker) {
	p.addFact(NoteFirstReport, "first reports in this term", WorkerFact{
		ID: w.entry.ID, Life: w.incarnation, View: w.view(p.now), After: p.now.Sub(p.termStart), Adopted: w.adopted, Unknown: w.unknownRuns,
	})
}

// noteEmpty notes that an inherited worker without a report counts as empty from now on.
func (p *Planner) noteEmpty(w *worker, reason emptyReason) {
	p.addFact(NoteEmpty, string(reason), WorkerFact{ID: w.entry.ID, View: w.view(p.now), After: p.now.Sub(p.termStart)})
}

// emptyReason is why the runs of earlier leaders on a worker that has not reported count as expired.
type emptyReason string

const (
	emptyByMajority emptyReason = "no report in this term; most workers refuse earlier leaders for longer than a lease"
	emptyByHorizon  emptyReason = "no report in this term; the horizon has passed"
)

// expiryReason returns why unreportedExpired holds.
func (p *Planner) expiryReason(now time.Time) emptyReason {
	if now.Sub(p.termStart) >= p.settings.Horizon {
		return emptyByHorizon
	}
	return emptyByMajority
}

// noteStartsAllowed notes once from when on tasks are started in this term.
func (p *Planner) noteStartsAllowed(now time.Time) {
	if p.startsNoted {
		return
	}
	p.startsNoted = true
	reason := "tasks start: the settle time has passed"
	switch {
	case p.firstTerm:
		reason = "tasks start: there was no earlier leader"
	case p.allReported():
		reason = "tasks start: all inherited workers that may run any task have reported"
	}
	p.noteTakeover(reason, now)
}

// noteUnreportedAllowed notes once from when on tasks are started that no worker has reported. It is called when tasks may be started.
func (p *Planner) noteUnreportedAllowed(now time.Time) {
	if p.unreportedNoted || p.unreportedMayRun(now) {
		return
	}
	p.unreportedNoted = true
	reason := "unreported tasks start: all inherited workers that may run any task have reported"
	switch {
	case p.firstTerm:
		return // noteStartsAllowed says so
	case p.unreportedExpired(now) && p.expiryReason(now) == emptyByHorizon:
		reason = "unreported tasks start: the horizon has passed"
	case p.unreportedExpired(now):
		reason = "unreported tasks start: most workers refuse earlier leaders for longer than a lease"
	}
	p.noteTakeover(reason, now)
}

// noteTakeover notes the state of the inherited workers, with those that have not reported, in as many notes as they need.
func (p *Planner) noteTakeover(reason string, now time.Time) {
	var state TakeoverState
	var missing []WorkerFact
	for _, w := range p.workers {
		if !w.inherited {
			continue
		}
		state.Inherited++
		if w.tasksKnown {
			state.Listed++
		}
		switch view := w.view(now); {
		case view.Reported:
			state.Reported++
			continue
		case view.AssumedEmpty:
			state.Empty++
		default:
			state.Waiting++
		}
		missing = append(missing, WorkerFact{ID: w.entry.ID, View: w.view(now)})
	}
	after := now.Sub(p.termStart)
	for chunk := range slices.Chunk(missing, maxWorkersPerNote) {
		p.notes = append(p.notes, Note{Kind: NoteTakeover, Reason: reason, Takeover: &state, After: after, Workers: chunk})
	}
	if len(missing) == 0 {
		p.notes = append(p.notes, Note{Kind: NoteTakeover, Reason: reason, Takeover: &state, After: after})
	}
}
