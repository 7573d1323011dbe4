package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
	"github.com/oleanderline/oleanderline/pkg/balance"
	"github.com/oleanderline/oleanderline/pkg/budget"
	"github.com/oleanderline/oleanderline/pkg/eject"
)

// service is the state that this entry keeps for one service.
type service struct {
	core     *Core
	id       oleanderline.ServiceID
	minions  []*minion // removed minions leave nil, so that indexes stay valid while requests are in flight
	picker   *balance.Picker
	queue    *admit.Queue
	classes  *admit.Classes
	ejector  *eject.Ejector
	retries  *budget.Budget
	hedges   *budget.Budget
	running  [2]int // exchanges in progress, by laneIndex
	capacity int    // slots that this entry may use, free or busy
	rules    serviceRules
}

func (c *Core) newService(id oleanderline.ServiceID) *service {
	s := &service{
		core:    c,
		id:      id,
		picker:  balance.NewPicker(c.rand, c.settings.Choices),
		queue:   admit.NewQueue(c.settings.Admit),
		classes: admit.NewClasses(c.settings.InitialRunTime),
		ejector: eject.New(c.settings.Eject),
		retries: budget.New(c.settings.RetryShare, c.settings.BudgetBurst),
		hedges:  budget.New(c.settings.HedgeShare, c.settings.BudgetBurst),
	}
	c.services[id] = s
	c.serviceList = append(c.serviceList, s)
	s.applyRules(c.rules)
	return s
}

func (s *service) slotUsage() admit.SlotUsage {
	return admit.SlotUsage{Slots: s.capacity, Short: s.running[0], Long: s.running[1]}
}

// utilization returns the busy part of the usable slots.
func (s *service) utilization() float64 {
	if s.capacity == 0 {
		return 0
	}
	return float64(s.running[0]+s.running[1]) / float64(s.capacity)
}

// refresh recomputes the capacity and the available minions after a change of slots, members, minions or rules.
func (s *service) refresh(now time.Time) {
	s.capacity = 0
	for _, m := range s.minions {
		if m == nil {
			continue
		}
		s.updateAvailability(m, now)
		if m.accepts() {
			s.capacity += m.slots.Capacity()
		}
	}
}

// updateAvailability sets whether a minion can be picked.
func (s *service) updateAvailability(m *minion, now time.Time) {
	available := m.slots.Free() > 0 && m.limit.Allows(m.candidate.Load, now) && m.accepts()
	s.picker.SetAvailable(&m.candidate, available)
}

// tick refuses requests that can no longer meet their deadline and starts health probes that are due. If decay is set, it
// also decays the measured latencies and applies drain rules that became active or expired.
func (s *service) tick(decay bool, now time.Time, actions []Action) []Action {
	s.queue.Expire(now, func(i *admit.Item) {
		r := s.core.requests[RequestID(i.ID)]
		actions = s.core.refuse(r, ReasonDeadline, actions)
	})
	s.rules.observeUtilization(s.utilization(), now)
	for _, m := range s.minions {
		if m == nil {
			continue
		}
		if decay {
			s.ejector.Decay(&m.health)
			m.candidate.Score = m.health.Score()
			m.drained = s.core.drained(m, now)
		}
		if s.ejector.ProbeDue(&m.health, now) {
			actions = append(actions, Action{Kind: ActionProbe, Minion: m.ID})
		}
	}
	return actions
}

// dispatchQueued sends queued requests to free slots.
func (s *service) dispatchQueued(now time.Time, actions []Action) []Action {
	for s.queue.Len() > 0 && s.picker.Len() > 0 && s.belowInFlightLimit() {
		item := s.queue.Next(s.slotUsage(), now)
		if item == nil {
			break
		}
		r := s.core.requests[RequestID(item.ID)]
		m, slot, ok := s.pick(r.refusedBy-1, now)
		if !ok {
			break
		}
		s.queue.Remove(item)
		actions = s.send(r, m, slot, false, now, actions)
	}
	return actions
}

// pick chooses a minion and takes one of its slots. The minion with index avoided is chosen only if no other is free.
func (s *service) pick(avoided int, now time.Time) (*minion, int, bool) {
	candidate := s.picker.Pick(avoided)
	if candidate == nil {
		candidate = s.picker.Pick()
	}
	for ; candidate != nil; candidate = s.picker.Pick() {
		m := s.minions[candidate.MinionIndex]
		if slot, ok := m.slots.Take(now); ok {
			return m, slot, true
		}
		// The only free slots of this minion were borrowed, and the loans have expired.
		s.updateAvailability(m, now)
	}
	return nil, 0, false
}

// send records the exchange of a request on a slot of a minion and appends the ActionSend.
func (s *service) send(r *request, m *minion, slot int, isHedge bool, now time.Time, actions []Action) []Action {
	for i := range r.exchanges {
		if r.exchanges[i].minion == nil {
			r.exchanges[i] = exchange{minion: m, slot: slot}
			break
		}
	}
	r.inFlight++
	s.running[laneIndex(r)]++
	m.candidate.Load++
	s.updateAvailability(m, now)
	return append(actions, Action{Kind: ActionSend, Request: r.Request.ID, Minion: m.ID, Hedge: isHedge})
}

// laneIndex returns the index into service.running: 0 for short requests, 1 for long ones.
func laneIndex(r *request) int {
	if r.Item.Long {
		return 1
	}
	return 0
}
