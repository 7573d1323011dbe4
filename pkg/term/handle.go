package term

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/replica"
)

// handle processes one message in the event loop, which owns the planner.
func (s *Session) handle(message any) {
	if m, ok := message.(handlerAwaited); ok {
		close(m.done)
		return
	}
	if s.ctx.Err() != nil {
		return
	}
	now := s.common.Clock.Now()
	switch m := message.(type) {
	case jobStored:
		s.loadJob(m.entry, s.ports.Wall())
	case jobCancelled:
		s.planner.Cancel(m.id)
	case configChanged:
		s.planner.SetConfig(m.config)
	case directoryRead:
		s.planner.SetWorkers(m.entries, now)
		s.connectWorkers()
	case reportReceived:
		s.metrics.reportAge.Update(now.Sub(m.sent).Seconds())
		delete(s.expiries, m.id) // the worker's leases may have been renewed since
		s.planner.Report(m.id, m.report, m.sent, now)
	case orderAnswered:
		s.observeStart(m.result, now)
		s.planner.HandleResult(m.result, now)
	case callFailed:
		s.planner.CallFailed(m.id, m.err)
	case inviteAnswered:
		s.agents.handleInviteAnswer(m.vm, m.err, now)
	case replaced:
		s.planner.Replaced(m.id, m.sent, now)
	case leaseExpired:
		s.handleLeaseExpired(m.id, m.expiry, now)
	case ticked:
		if until := s.planner.MajorityUntil(); !until.IsZero() {
			s.majorityUntil.Store(until.UnixNano())
		}
		s.checkExpiries(now)
		s.agents.check(now)
		s.planner.SetEvacuations(s.ports.Evacuations(), now)
		s.planner.Place(now, s.ports.Wall(), s.startWindow.Room(now))
		s.updateIntake(now)
		s.domainWaiting.Store(int64(s.planner.WaitingForDomains()))
		s.tickPending.Store(false)
	case adviceReceived:
		s.planner.HandleAdvice(m.request, m.advice, m.err, m.askedAt)
	case windowRequested:
		s.maintenance.Add(m.window)
	case vmsListed:
		s.runMaintenance(m.vms, now)
	case maintenanceAnswered:
		s.handleMaintenanceAnswer(m, now)
	case flushRequested:
		s.collectRecords(m.reply)
	case flushStored:
		s.handleFlushStored(m)
	}
	s.dispatch()
}

func (s *Session) loadJob(entry replica.Entry, wallNow time.Time) {
	age := min(max(0, wallNow.Sub(entry.Job.Submitted)), maxJobAge)
	s.planner.AddJob(entry.Job, entry.Progress, s.common.Clock.Now(), age)
	if entry.Cancelled {
		s.planner.Cancel(entry.Job.ID)
	}
}

// maxJobAge bounds the effect of clock skew between processes on the age of a job.
const maxJobAge = 5 * time.Minute

// dispatch sends the planner's orders to the links and its requests to the adviser, updates metrics and logs decisions.
func (s *Session) dispatch() {
	now := s.common.Clock.Now()
	for _, order := range s.planner.Orders() {
		if order.Kind == plan.OrderStart {
			s.openStarts.Add(1)
			s.startWindow.Sent(order.Key, now)
		}
		if l := s.links[order.Worker]; l != nil {
			l.Order(order)
			continue
		}
		go s.Result(plan.Result{Order: order, Err: oleanderline.ErrUnavailable})
	}
	for _, request := range s.planner.AdviceRequests() {
		s.wg.Go(func() { s.askAdviser(request) })
	}
	for _, delay := range s.planner.FirstStarts() {
		s.metrics.firstStartDelay.Update(delay.Seconds())
	}
	s.metrics.countCopies(s.planner.CopyCounts())
	s.metrics.countLevels(s.planner.ServiceLevels())
	for _, note := range s.planner.Notes() {
		s.logNote(note)
	}
}

// observeStart updates the window of outstanding starts with the result of a start.
func (s *Session) observeStart(result plan.Result, now time.Time) {
	switch {
	case result.Order.Kind != plan.OrderStart:
	case result.Err == nil:
		s.startWindow.Answered(result.Order.Key, now)
		s.intake.Answered()
	case result.Attempts == 0:
		s.startWindow.Expired(result.Order.Key, now)
	default:
		s.startWindow.Failed(result.Order.Key)
	}
}

func (s *Session) handleFlushStored(m flushStored) {
	for _, id := range m.workers {
		s.planner.WorkerRecorded(id)
	}
	for id, progress := range m.windows {
		s.takeDownAll(s.maintenance.Stored(id, progress, s.common.Clock.Now()))
	}
	for id, acked := range s.planner.Flushed(m.ends) {
		if l := s.links[id]; l != nil {
			l.Ack(acked)
		}
	}
}

// Report implements link.Events.
func (s *Session) Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent time.Time) {
	s.metrics.countReport(report)
	s.post(reportReceived{id, report, sent})
	if len(report.Ended) > 0 {
		s.writer.wake()
	}
}

// Result implements link.Events.
func (s *Session) Result(result plan.Result) {
	s.metrics.countResult(result)
	if result.Order.Kind == plan.OrderStart {
		s.openStarts.Add(-1)
	}
	s.post(orderAnswered{result})
}

func isRefusal(err error) bool {
	var refused *oleanderline.RefusedError
	return errors.As(err, &refused)
}

// CallFailed implements link.Events.
func (s *Session) CallFailed(id oleanderline.WorkerID, err error) {
	s.metrics.callFailures.Inc()
	s.post(callFailed{id, err})
}

// Replaced implements link.Events.
func (s *Session) Replaced(id oleanderline.WorkerID, sent time.Time) {
	s.post(replaced{id, sent})
}

// LeaseExpired implements link.Events.
func (s *Session) LeaseExpired(id oleanderline.WorkerID, expiry plan.Expiry) {
	s.post(leaseExpired{id, expiry})
}

// Fenced implements link.Events.
func (s *Session) Fenced(id oleanderline.WorkerID) {
	s.end("worker " + string(id) + " has seen a newer term")
}

// inService reports whether tasks may start in a failure domain now.
func (s *Session) inService(domain oleanderline.DomainID) bool {
	return s.ports.Evacuations().InService(domain)
}
