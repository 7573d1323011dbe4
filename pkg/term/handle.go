package term

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// handle runs in the duty that owns the planner.
func (s *Session) handle(message any) {
	if s.ctx.Err() != nil {
		return
	}
	now := s.common.Clock.Now()
	switch m := message.(type) {
	case jobStored:
		s.add(m.entry, s.ports.Wall())
	case jobCancelled:
		s.planner.Cancel(m.id)
	case configChanged:
		s.planner.SetConfig(m.config)
	case directoryRead:
		s.planner.SetWorkers(m.entries, now)
		s.connect()
	case reported:
		s.metrics.holdTime.Update(now.Sub(m.sent).Seconds())
		s.planner.Report(m.id, m.report, m.sent, now)
	case answered:
		s.measure(m.result, now)
		s.planner.Answered(m.result, now)
	case fellSilent:
		s.planner.Silent(m.id)
	case invited:
		s.agents.answered(m.vm, m.err, now)
	case lapsed:
		s.planner.Lapsed(m.id, now)
	case ticked:
		if until := s.planner.SupportedUntil(); !until.IsZero() {
			s.supported.Store(until.UnixNano())
		}
		s.agents.look(now)
		s.planner.Place(now, s.ports.Wall(), s.window.Room(now))
	case advised:
		s.planner.Advised(m.question, m.advice, m.err, m.asked)
	case windowAsked:
		s.windows.Add(m.window)
	case fleetRead:
		s.maintain(m.vms, now)
	case maintained:
		s.maintained(m, now)
	case flushWant:
		s.collect(m.reply)
	case flushed:
		s.flushed(m)
	}
	s.carryOut()
}

func (s *Session) add(entry replica.Entry, wall time.Time) {
	age := min(max(0, wall.Sub(entry.Job.Submitted)), maxAge)
	s.planner.AddJob(entry.Job, entry.Progress, s.common.Clock.Now(), age)
	if entry.Cancelled {
		s.planner.Cancel(entry.Job.ID)
	}
}

// maxAge bounds the effect of clocks that differ on the age of a job.
const maxAge = 5 * time.Minute

// carryOut passes decided orders to the links and logs decisions.
func (s *Session) carryOut() {
	now := s.common.Clock.Now()
	for _, order := range s.planner.Orders() {
		if order.Kind == plan.OrderStart {
			s.window.Sent(order.Key, now)
		}
		if l := s.links[order.Worker]; l != nil {
			l.Order(order)
			continue
		}
		go s.Result(plan.Result{Order: order, Err: oleanderline.ErrUnavailable})
	}
	for _, question := range s.planner.Questions() {
		s.duties.Go(func() { s.ask(question) })
	}
	for _, waited := range s.planner.FirstStarts() {
		s.metrics.startTime.Update(waited.Seconds())
	}
	s.metrics.countLevels(s.planner.Levels())
	for _, note := range s.planner.Notes() {
		s.log(note)
	}
}

// measure takes in how fast a start was answered.
func (s *Session) measure(result plan.Result, now time.Time) {
	switch {
	case result.Order.Kind != plan.OrderStart:
	case result.Err == nil:
		s.window.Answered(result.Order.Key, now)
	case result.Attempts == 0:
		s.window.Expired(result.Order.Key, now)
	default:
		s.window.Failed(result.Order.Key)
	}
}

var noteEvents = map[plan.NoteKind]common.Event{
	plan.NoteStart:  common.EventRunStart,
	plan.NoteEnd:    common.EventRunEnd,
	plan.NoteStop:   common.EventRunStop,
	plan.NoteLost:   common.EventRunLost,
	plan.NoteJob:    common.EventJobFinal,
	plan.NoteWorker: common.EventWorkerChange,
	plan.NotePace:   common.EventPace,
}

func (s *Session) log(note plan.Note) {
	if note.Kind == plan.NoteLost {
		s.metrics.lost.Inc()
	}
	entry := s.common.Event(noteEvents[note.Kind]).WithField("term", s.settings.Leader.Term)
	if note.Run.Task.Job != "" {
		entry = entry.WithField("task", note.Run.Task.String()).WithField("run", note.Run.Run)
	}
	if note.Worker != "" {
		entry = entry.WithField("worker", note.Worker)
	}
	entry.Info(note.Reason)
}

func (s *Session) flushed(m flushed) {
	for _, id := range m.workers {
		s.planner.WorkerRecorded(id)
	}
	for id, progress := range m.windows {
		s.takeDownAll(s.windows.Stored(id, progress, s.common.Clock.Now()))
	}
	for id, acked := range s.planner.Flushed(m.mark) {
		if l := s.links[id]; l != nil {
			l.Ack(acked)
		}
	}
}

// Report implements link.Events.
func (s *Session) Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent time.Time) {
	s.metrics.report(report)
	s.post(reported{id, report, sent})
	if len(report.Ended) > 0 {
		s.writer.wake()
	}
}

// Result implements link.Events.
func (s *Session) Result(result plan.Result) {
	s.metrics.result(result)
	s.post(answered{result})
}

func isRefusal(err error) bool {
	var refused *oleanderline.RefusedError
	return errors.As(err, &refused)
}

// Silent implements link.Events.
func (s *Session) Silent(id oleanderline.WorkerID, err error) {
	s.metrics.silent.Inc()
	s.post(fellSilent{id, err})
}

// Lapsed implements link.Events.
func (s *Session) Lapsed(id oleanderline.WorkerID) { s.post(lapsed{id}) }

// Fenced implements link.Events.
func (s *Session) Fenced(id oleanderline.WorkerID) {
	s.end("worker " + string(id) + " has seen a newer term")
}
