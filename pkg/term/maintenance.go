package term

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// windowState is the state of a maintenance window that is published to operators.
type windowState struct {
	id       oleanderline.WindowID
	complete bool
}

// pollVMs lists the VMs of workers while a maintenance window is open, and posts each list.
func (s *Session) pollVMs() {
	failing := false
	for s.ctx.Err() == nil {
		s.sleep(vmPollInterval)
		if !s.maintenanceOpen.Load() {
			continue
		}
		vms, err := s.ports.Fleet.VMs(s.ctx)
		if err != nil {
			if !failing && s.ctx.Err() == nil {
				s.common.Event(common.EventFleetStale).WithError(err).Warn("failed to list the VMs of workers; maintenance waits")
			}
			failing = true
			continue
		}
		failing = false
		s.post(vmsListed{vms})
	}
}

// runMaintenance vacates workers and takes down VMs as the open maintenance windows require next.
func (s *Session) runMaintenance(vms []oleanderline.FleetVM, now time.Time) {
	if now.Sub(s.startedAt) < s.settings.Maintenance.StartDelay || !s.Authority(now) {
		return
	}
	decision := s.maintenance.Decide(vms, s.planner, now)
	s.planner.Vacate(decision.Vacate, now)
	s.takeDownAll(decision.Orders)
	s.maintenanceOpen.Store(s.maintenance.Open())
}

func (s *Session) takeDownAll(orders []maintenance.Order) {
	for _, order := range orders {
		s.wg.Go(func() { s.takeDown(order) })
	}
}

// takeDown orders the maintenance of one VM and posts the outcome.
func (s *Session) takeDown(order maintenance.Order) {
	entry := s.common.Event(common.EventMaintenance).WithField("window", order.Window).WithField("vm", order.VM).
		WithField("term", s.settings.Leader.Term)
	if !s.Authority(s.common.Clock.Now()) {
		s.post(maintenanceAnswered{order, oleanderline.ErrUnavailable})
		return
	}
	err := s.ports.Fleet.Maintain(s.ctx, oleanderline.MaintainVM{
		VM: order.VM, Window: order.Window, Holder: s.settings.VM, Term: s.settings.Leader.Term,
	})
	if err != nil {
		entry.WithError(err).Warn("maintenance of the VM was ordered but not confirmed")
	} else {
		entry.Info("maintenance of the VM has begun")
	}
	s.post(maintenanceAnswered{order, err})
}

func (s *Session) handleMaintenanceAnswer(m maintenanceAnswered, now time.Time) {
	result := maintenance.Unknown
	switch {
	case m.err == nil:
		result = maintenance.Accepted
	case errors.Is(m.err, oleanderline.ErrFenced):
		s.end("the service for VMs has seen a newer term")
		return
	case errors.Is(m.err, oleanderline.ErrVMUnknown):
		result = maintenance.Refused
	case errors.Is(m.err, oleanderline.ErrVMBusy), errors.Is(m.err, oleanderline.ErrUnavailable):
		result = maintenance.NotDone
	}
	s.maintenance.HandleResult(m.order, result, s.planner, now)
}

// windowRecords returns the records of maintenance windows that have changed, and queues their states for publication.
func (s *Session) windowRecords(changes map[oleanderline.WindowID]maintenance.Progress) []oleanderline.KeyedRecord {
	var records []oleanderline.KeyedRecord
	for id, progress := range changes {
		rec, err := record.ForWindow(id, progress)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode a maintenance window; record skipped")
			continue
		}
		records = append(records, rec)
		if s.ports.Fleet == nil {
			continue
		}
		select {
		case s.windowStates <- windowState{id, progress.Complete}:
		default:
			s.common.Event(common.EventFleetStale).WithField("window", id).Warn("queue of maintenance window states is full; state not published")
		}
	}
	return records
}

// publishWindowStates appends queued states of maintenance windows to the status stream, each change once.
func (s *Session) publishWindowStates() {
	status := newAppender(s, s.ports.Status)
	published := map[oleanderline.WindowID]windowState{}
	for {
		var state windowState
		select {
		case <-s.ctx.Done():
			return
		case state = <-s.windowStates:
		}
		if published[state.id] == state {
			continue
		}
		rec, err := s.ports.EncodeWindow(state.id, state.complete)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("failed to encode the state of a maintenance window; state not published")
			continue
		}
		if status.store([]oleanderline.KeyedRecord{rec}, func(int64) {}) {
			published[state.id] = state
		}
	}
}
