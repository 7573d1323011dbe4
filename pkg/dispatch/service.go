package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
	"github.com/oleanderline/oleanderline/pkg/balance"
	"github.com/oleanderline/oleanderline/pkg/budget"
	"github.com/oleanderline/oleanderline/pkg/eject"
)

// service is the state of one service at this entry.
type service struct {
	core    *Core
	id      oleanderline.ServiceID
	minions []*minion // an index stays valid while requests are in flight; removed minions leave nil
	picker  *balance.Picker
	gate    *admit.Gate
	classes *admit.Classes
	ejector *eject.Ejector
	retries *budget.Budget
	hedges  *budget.Budget
	running [2]int // exchanges of short and of long requests
	held    int    // slots that this entry may use, busy or not
	rules   serviceRules
}

func (c *Core) newService(id oleanderline.ServiceID) *service {
	s := &service{
		core:    c,
		id:      id,
		picker:  balance.NewPicker(c.rand, c.settings.Choices),
		gate:    admit.NewGate(c.settings.Admit),
		classes: admit.NewClasses(c.settings.FirstRun),
		ejector: eject.New(c.settings.Eject),
		retries: budget.New(c.settings.RetryShare, c.settings.BudgetBurst),
		hedges:  budget.New(c.settings.HedgeShare, c.settings.BudgetBurst),
	}
	c.services[id] = s
	c.order = append(c.order, s)
	s.applyRules(c.rules)
	return s
}

func (s *service) room() admit.Room {
	return admit.Room{Slots: s.held, Short: s.running[0], Long: s.running[1]}
}

// busyShare is the part of the usable slots that is busy.
func (s *service) busyShare() float64 {
	if s.held == 0 {
		return 0
	}
	return float64(s.running[0]+s.running[1]) / float64(s.held)
}

// refresh brings the candidates up to date after slots, members, minions or rules have changed.
func (s *service) refresh(now time.Time) {
	s.held = 0
	for _, m := range s.minions {
		if m == nil {
			continue
		}
		s.update(m, now)
		if m.accepts() {
			s.held += m.slots.Held()
		}
	}
}

// update sets whether a minion can be picked.
func (s *service) update(m *minion, now time.Time) {
	available := m.slots.Free() > 0 && m.limit.Allows(m.candidate.Load, now) && m.accepts()
	s.picker.Set(&m.candidate, available)
}

func (s *service) tick(fade bool, now time.Time, actions []Action) []Action {
	s.gate.Expire(now, func(i *admit.Item) {
		r := s.core.requests[RequestID(i.ID)]
		actions = s.core.refuse(r, ReasonDeadline, actions)
	})
	s.rules.observeLoad(s.busyShare(), now)
	for _, m := range s.minions {
		if m == nil {
			continue
		}
		if fade {
			s.ejector.Fade(&m.health)
			m.candidate.Score = m.health.Score()
			m.drained = s.core.drained(m, now)
		}
		if s.ejector.ProbeDue(&m.health, now) {
			actions = append(actions, Action{Kind: ActionProbe, Minion: m.ID})
		}
	}
	return actions
}

// serve binds waiting requests to free slots.
func (s *service) serve(now time.Time, actions []Action) []Action {
	for s.gate.Len() > 0 && s.picker.Len() > 0 && s.withinLimit() {
		item := s.gate.Next(s.room(), now)
		if item == nil {
			break
		}
		r := s.core.requests[RequestID(item.ID)]
		m, slot, ok := s.pick(r.avoid-1, now)
		if !ok {
			break
		}
		s.gate.Remove(item)
		actions = s.send(r, m, slot, false, now, actions)
	}
	return actions
}

// pick chooses a minion and takes one of its slots. It avoids the minion with index avoid if another is free.
func (s *service) pick(avoid int, now time.Time) (*minion, int, bool) {
	candidate := s.picker.Pick(avoid)
	if candidate == nil {
		candidate = s.picker.Pick()
	}
	for ; candidate != nil; candidate = s.picker.Pick() {
		m := s.minions[candidate.Owner]
		if slot, ok := m.slots.Take(now); ok {
			return m, slot, true
		}
		// The only free slots of this minion were loans that have just run out.
		s.update(m, now)
	}
	return nil, 0, false
}

func (s *service) send(r *request, m *minion, slot int, hedge bool, now time.Time, actions []Action) []Action {
	for i := range r.flights {
		if r.flights[i].minion == nil {
			r.flights[i] = flight{minion: m, slot: slot}
			break
		}
	}
	r.active++
	s.running[lane(r)]++
	m.candidate.Load++
	s.update(m, now)
	return append(actions, Action{Kind: ActionSend, Request: r.Request.ID, Minion: m.ID, Hedge: hedge})
}

func lane(r *request) int {
	if r.Item.Long {
		return 1
	}
	return 0
}
