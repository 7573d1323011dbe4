package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
	"github.com/oleanderline/oleanderline/pkg/balance"
	"github.com/oleanderline/oleanderline/pkg/eject"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// minion is the state that this entry keeps for one minion.
type minion struct {
	Minion
	service   *service
	slots     *slots.Minion
	candidate balance.Candidate
	health    eject.Minion
	limit     admit.Limit
	drained   bool // by a drain rule
	removed   bool // no longer listed; its state is kept until its last exchange ends
}

// accepts reports whether new requests may be sent to the minion.
func (m *minion) accepts() bool {
	return !m.Leaving && !m.drained && !m.removed && !m.health.Ejected()
}

// SetMinions replaces the list of minions. No new requests are sent to a minion that is no longer listed.
func (c *Core) SetMinions(minions []Minion, now time.Time, actions []Action) []Action {
	listed := make(map[oleanderline.MinionID]bool, len(minions))
	for _, m := range minions {
		listed[m.ID] = true
		c.setMinion(m, now)
	}
	for _, s := range c.serviceList {
		for _, m := range s.minions {
			if m != nil && !listed[m.ID] {
				m.removed = true
				c.removeIfIdle(m)
			}
		}
	}
	c.table.Tick(now)
	return c.dispatchAll(now, actions)
}

func (c *Core) setMinion(listed Minion, now time.Time) {
	if listed.Slots <= 0 {
		listed.Slots = c.settings.DefaultSlots
	}
	m, ok := c.minions[listed.ID]
	if !ok {
		m = c.addMinion(listed)
	}
	m.Minion = listed
	m.removed = false
	m.slots = c.table.Add(listed.ID, listed.Slots, now)
	m.drained = c.drained(m, now)
}

func (c *Core) addMinion(listed Minion) *minion {
	s, ok := c.services[listed.Service]
	if !ok {
		s = c.newService(listed.Service)
	}
	m := &minion{service: s, limit: admit.NewLimit(c.settings.Limit, listed.Slots)}
	m.candidate = balance.Candidate{MinionIndex: len(s.minions), Score: 1}
	if unused := slices.Index(s.minions, nil); unused >= 0 {
		m.candidate.MinionIndex = unused
		s.minions[unused] = m
	} else {
		s.minions = append(s.minions, m)
	}
	c.minions[listed.ID] = m
	s.ejector.Add()
	return m
}

// removeIfIdle deletes the state of a minion that is no longer listed and has no exchange in progress.
func (c *Core) removeIfIdle(m *minion) {
	if !m.removed || m.candidate.Load > 0 {
		return
	}
	m.service.picker.SetAvailable(&m.candidate, false)
	m.service.ejector.Remove(&m.health)
	m.service.minions[m.candidate.MinionIndex] = nil
	c.table.Remove(m.ID)
	delete(c.minions, m.ID)
}

// HandleProbeResult processes the result of the probe of an ActionProbe.
func (c *Core) HandleProbeResult(id oleanderline.MinionID, ok bool, now time.Time, actions []Action) []Action {
	m, known := c.minions[id]
	if !known || !m.service.ejector.HandleProbeResult(&m.health, ok, now) {
		return actions
	}
	m.candidate.Score = m.health.Score()
	m.service.refresh(now)
	return m.service.dispatchQueued(now, actions)
}
