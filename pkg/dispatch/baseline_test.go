package dispatch

import "time"

// arriveEarlyBound sends a call to a minion at once, which queues it within the same total bound as the entries do.
func (n *node) arriveEarlyBound(c *call) {
	w := n.world
	chosen := w.rand.IntN(len(w.minions))
	if w.policy == policyLeast {
		first := chosen
		for i := range w.minions {
			if k := (first + i) % len(w.minions); n.load[k] < n.load[chosen] {
				chosen = k
			}
		}
	}
	n.load[chosen]++
	m, arrived := w.minions[chosen], w.now
	reply := func(answered bool, reason Reason) {
		w.after(toMinion, func() {
			n.load[chosen]--
			w.end(c, arrived, answered, reason)
		})
	}
	w.after(toMinion, func() {
		if m.busy >= m.slots && len(m.queue) >= w.bound/len(w.minions) {
			reply(false, ReasonQueueFull)
			return
		}
		m.queue = append(m.queue, func() { m.work(w, c, arrived, reply) })
		m.next()
	})
}

func (m *simMinion) next() {
	for m.busy < m.slots && len(m.queue) > 0 {
		first := m.queue[0]
		m.queue = m.queue[1:]
		first()
	}
}

// work runs a call of a baseline. A call whose deadline has passed in the queue is not run.
func (m *simMinion) work(w *world, c *call, arrived time.Time, reply func(bool, Reason)) {
	if c.limit > 0 && w.now.Sub(arrived) > c.limit {
		reply(false, ReasonDeadline)
		return
	}
	m.busy++
	w.after(m.takes(c, false), func() {
		m.busy--
		reply(true, "")
		m.next()
	})
}
