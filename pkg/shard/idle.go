package shard

// Idle reports whether nothing is pending for the next tick except reads of the stream, renewals and retries of calls to
// workers. Their intervals start at 100 ms, so ticks may be 100 ms apart while the core is idle.
func (c *Core) Idle() bool {
	ownership := !c.leaving && !c.claiming && !c.releasing && c.staleSince.IsZero()
	callers := len(c.waiters.submitOrder) == 0 && len(c.waiters.cancelOrder) == 0
	tasks := c.queue.Len() == 0 && len(c.preempted) == 0 && len(c.movedTasks) == 0 && len(c.messages) == 0 && len(c.pendingAccepts) == 0
	return ownership && callers && tasks && !c.readSoon && c.writer.Idle()
}
