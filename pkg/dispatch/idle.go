package dispatch

// Idle reports whether there are no requests and no slots are being reassigned or lent. While it is true, it is enough to
// call Tick every IdleTick.
func (c *Core) Idle() bool { return len(c.requests) == 0 && c.table.Idle() }

// IdleTick is the longest allowed time between two calls of Tick while Idle returns true. It is the interval at which Tick
// decays the measured latency of minions.
const IdleTick = decayInterval
