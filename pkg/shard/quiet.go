package shard

// Quiet reports whether nothing waits for the next tick but readings of the stream, renewals and retries of calls to
// workers. Their intervals start at 100 ms, so that ticks may be 100 ms apart meanwhile.
func (c *Core) Quiet() bool {
	ownership := !c.leaving && !c.claiming && !c.releasing && c.suspectSince.IsZero()
	callers := len(c.waiters.submitOrder) == 0 && len(c.waiters.cancelOrder) == 0
	tasks := c.queue.Len() == 0 && len(c.preempted) == 0 && len(c.away) == 0 && len(c.messages) == 0 && len(c.accepting) == 0
	return ownership && callers && tasks && !c.readSoon && c.writer.Idle()
}
