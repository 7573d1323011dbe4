package dispatch

// Idle reports whether no request waits or runs, and no slots are being handed over or lent. Then Tick may be called every
// IdleTick only, until Idle is false again.
func (c *Core) Idle() bool { return len(c.requests) == 0 && c.table.Idle() }

// IdleTick is the longest time between two ticks: measured health fades with every tick after it.
const IdleTick = fadeEvery
