package term

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

var noteEvents = map[plan.NoteKind]common.Event{
	plan.NoteStart:       common.EventRunStart,
	plan.NoteEnd:         common.EventRunEnd,
	plan.NoteStop:        common.EventRunStop,
	plan.NoteLost:        common.EventRunLost,
	plan.NoteJob:         common.EventJobFinal,
	plan.NoteWorker:      common.EventWorkerChange,
	plan.NoteThrottle:    common.EventThrottle,
	plan.NoteUnexpected:  common.EventRunUnexpected,
	plan.NoteInherited:   common.EventWorkersInherited,
	plan.NoteFirstReport: common.EventFirstReports,
	plan.NoteEmpty:       common.EventWorkersEmpty,
	plan.NoteRecord:      common.EventWorkersRecorded,
	plan.NoteTakeover:    common.EventTakeover,

	plan.NoteDomainAwaited:   common.EventDomainAwaited,
	plan.NoteDomainAwaitEnds: common.EventDomainAwaitEnds,
	plan.NoteDomainUnknown:   common.EventDomainUnknown,

	plan.NoteCopy:        common.EventCopy,
	plan.NoteSpeed:       common.EventWorkerSpeed,
	plan.NoteBreakerOpen: common.EventStepFailing,
	plan.NoteBreakerShut: common.EventStepSound,
}

// logNote logs a decision of the planner. Each note is one line, so that the limit of lines per second bounds them.
func (s *Session) logNote(note plan.Note) {
	switch note.Kind {
	case plan.NoteLost:
		s.metrics.runsLost.Inc()
	case plan.NoteBreakerOpen:
		s.metrics.failingSteps.Inc()
	}
	fields := logrus.Fields{"term": s.settings.Leader.Term}
	if note.Run.Task.Job != "" {
		fields["task"], fields["run"] = note.Run.Task.String(), note.Run.Run
	}
	if note.Worker != "" {
		fields["worker"] = note.Worker
	}
	switch note.Kind {
	case plan.NoteStart, plan.NoteStop, plan.NoteUnexpected, plan.NoteLost, plan.NoteWorker:
		s.addDecision(fields, note)
	}
	if note.Kind == plan.NoteStart {
		fields["waited"], fields["obstacle"], fields["kind"] = note.Waited.Seconds(), note.Obstacle, note.TaskKind
	}
	if note.Failure != nil {
		fields["attempts"], fields["released"] = note.Failure.Attempts, note.Failure.Released
		fields["took"] = seconds(note.Failure.Took)
	}
	if note.Loss != nil {
		s.addLoss(fields, note.Loss)
	}
	if note.Expected != nil {
		fields["expectrun"], fields["expecton"], fields["over"] = note.Expected.Run, note.Expected.Worker, note.Expected.Over
	}
	if len(note.Workers) > 0 {
		fields["count"], fields["workers"] = len(note.Workers), s.describeWorkers(note)
	}
	if note.Takeover != nil {
		state := note.Takeover
		fields["after"], fields["inherited"], fields["listed"] = seconds(note.After), state.Inherited, state.Listed
		fields["reported"], fields["empty"], fields["waiting"] = state.Reported, state.Empty, state.Waiting
	}
	s.common.Event(noteEvents[note.Kind]).WithFields(fields).Info(note.Reason)
}

// addDecision adds which process decided and which one sends the orders to the worker, and what the leader knows of the worker.
func (s *Session) addDecision(fields logrus.Fields, note plan.Note) {
	fields["leader"] = s.settings.VM
	switch l := s.links[note.Worker]; {
	case l == nil:
		fields["unserved"] = true
	case l.agent != "":
		fields["agent"] = l.agent
	}
	fields["known"] = note.View.String()
	if note.View.Reported {
		fields["age"] = seconds(note.View.Age)
	}
}

// addLoss adds the facts behind the loss of a run. Times are given as seconds before the line.
func (s *Session) addLoss(fields logrus.Fields, loss *plan.Loss) {
	now := s.common.Clock.Now()
	for _, fact := range []struct {
		name string
		at   time.Time
	}{
		{"began", loss.StartedAt}, {"answered", loss.AnsweredAt}, {"asked", loss.RequestedAt}, {"expired", loss.LeaseEnd},
	} {
		if !fact.at.IsZero() {
			fields[fact.name] = seconds(now.Sub(fact.at))
		}
	}
	fields["adopted"], fields["stopping"] = loss.Adopted, loss.Stopping
}

// describeWorkers returns a short text for each worker, which begins with its id.
func (s *Session) describeWorkers(note plan.Note) []string {
	list := make([]string, len(note.Workers))
	for i, fact := range note.Workers {
		list[i] = s.describeWorker(note.Kind, fact)
	}
	return list
}

func (s *Session) describeWorker(kind plan.NoteKind, fact plan.WorkerFact) string {
	text := string(fact.ID)
	if kind != plan.NoteInherited { // of inherited workers, nothing is known at that time
		text += " " + fact.View.String()
	}
	if fact.After > 0 {
		text += fmt.Sprintf(" after=%.3f", seconds(fact.After))
	}
	if fact.ListsTasks {
		text += fmt.Sprintf(" tasks=%d", fact.Tasks)
	}
	if fact.Life != 0 {
		text += fmt.Sprintf(" life=%d adopted=%d unknown=%d", fact.Life, fact.Adopted, fact.Unknown)
	}
	if l := s.links[fact.ID]; l != nil && l.agent != "" {
		text += " agent=" + string(l.agent)
	}
	return text
}

// seconds returns d in seconds, in whole milliseconds to keep lines short.
func seconds(d time.Duration) float64 { return float64(d.Milliseconds()) / 1000 }
