package term

import (
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/maintenance"
	"github.com/oleanderline/oleanderline/pkg/record"
)

// windowState is what operators are told about a maintenance window.
type windowState struct {
	id       oleanderline.WindowID
	complete bool
}

// followFleet looks at the VMs of workers while a maintenance window is open.
func (s *Session) followFleet() {
	lost := false
	for s.ctx.Err() == nil {
		s.sleep(fleetInterval)
		if !s.maintains.Load() {
			continue
		}
		vms, err := s.ports.Fleet.VMs(s.ctx)
		if err != nil {
			if !lost && s.ctx.Err() == nil {
				s.common.Event(common.EventFleetLost).WithError(err).Warn("the list of VMs cannot be read")
			}
			lost = true
			continue
		}
		lost = false
		s.post(fleetRead{vms})
	}
}

// maintain takes the maintenance windows a step further.
func (s *Session) maintain(vms []oleanderline.FleetVM, now time.Time) {
	if now.Sub(s.began) < s.settings.Maintenance.Quiet || !s.Authority(now) {
		return
	}
	decision := s.windows.Decide(vms, s.planner, now)
	s.planner.Vacate(decision.Vacate, now)
	s.takeDownAll(decision.Orders)
	s.maintains.Store(s.windows.Open())
}

func (s *Session) takeDownAll(orders []maintenance.Order) {
	for _, order := range orders {
		s.duties.Go(func() { s.takeDown(order) })
	}
}

// takeDown orders the maintenance of one VM.
func (s *Session) takeDown(order maintenance.Order) {
	entry := s.common.Event(common.EventMaintenance).WithField("window", order.Window).WithField("vm", order.VM).
		WithField("term", s.settings.Leader.Term)
	if !s.Authority(s.common.Clock.Now()) {
		s.post(maintained{order, oleanderline.ErrUnavailable})
		return
	}
	err := s.ports.Fleet.Maintain(s.ctx, oleanderline.MaintainVM{
		VM: order.VM, Window: order.Window, Holder: s.settings.VM, Term: s.settings.Leader.Term,
	})
	if err != nil {
		entry.WithError(err).Warn("maintenance is not confirmed")
	} else {
		entry.Info("maintenance begins")
	}
	s.post(maintained{order, err})
}

func (s *Session) maintained(m maintained, now time.Time) {
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
	s.windows.Answered(m.order, result, now)
}

// windowRecords returns the records of windows that have changed. Operators are told what follows from them.
func (s *Session) windowRecords(changes map[oleanderline.WindowID]maintenance.Progress) []oleanderline.KeyedRecord {
	var records []oleanderline.KeyedRecord
	for id, progress := range changes {
		rec, err := record.ForWindow(id, progress)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("window cannot be encoded")
			continue
		}
		records = append(records, rec)
		if s.ports.Fleet == nil {
			continue
		}
		select {
		case s.states <- windowState{id, progress.Complete}:
		default:
			s.common.Event(common.EventFleetLost).WithField("window", id).Warn("too many states of windows wait to be stored")
		}
	}
	return records
}

// tellOperators stores the states of maintenance windows.
func (s *Session) tellOperators() {
	status := newAppender(s, s.ports.Status)
	told := map[oleanderline.WindowID]windowState{}
	for {
		var state windowState
		select {
		case <-s.ctx.Done():
			return
		case state = <-s.states:
		}
		if told[state.id] == state {
			continue
		}
		rec, err := s.ports.EncodeWindow(state.id, state.complete)
		if err != nil {
			s.common.Event(common.EventRecordMalformed).WithError(err).Error("state of a window cannot be encoded")
			continue
		}
		if status.store([]oleanderline.KeyedRecord{rec}, func(int64) {}) {
			told[state.id] = state
		}
	}
}
