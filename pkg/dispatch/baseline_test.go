package dispatch

import "time"

// arriveBaseline sends a call to a minion on arrival. The minions queue calls, with the same total queue limit as the
// entries have.
func (e *simEntry) arriveBaseline(c *call) {
	sim := e.sim
	chosen := sim.rand.IntN(len(sim.minions))
	if sim.policy == policyLeastLoaded {
		offset := chosen
		for i := range sim.minions {
			if k := (offset + i) % len(sim.minions); e.load[k] < e.load[chosen] {
				chosen = k
			}
		}
	}
	e.load[chosen]++
	m, arrived := sim.minions[chosen], sim.now
	reply := func(answered bool, reason Reason) {
		sim.after(minionDelay, func() {
			e.load[chosen]--
			sim.recordResult(c, arrived, answered, reason)
		})
	}
	sim.after(minionDelay, func() {
		if m.busy >= m.slots && len(m.queue) >= sim.maxQueued/len(sim.minions) {
			reply(false, ReasonQueueFull)
			return
		}
		m.queue = append(m.queue, func() { m.run(sim, c, arrived, reply) })
		m.startQueued()
	})
}

// startQueued starts queued calls of a baseline while slots are free.
func (m *simMinion) startQueued() {
	for m.busy < m.slots && len(m.queue) > 0 {
		first := m.queue[0]
		m.queue = m.queue[1:]
		first()
	}
}

// run runs a call of a baseline. A call whose deadline passed while it was queued is not run.
func (m *simMinion) run(sim *simulation, c *call, arrived time.Time, reply func(bool, Reason)) {
	if c.timeout > 0 && sim.now.Sub(arrived) > c.timeout {
		reply(false, ReasonDeadline)
		return
	}
	m.busy++
	sim.after(m.serviceTime(c, false), func() {
		m.busy--
		reply(true, "")
		m.startQueued()
	})
}
