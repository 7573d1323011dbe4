package member

import (
	"maps"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Turns decides which of two processes sends the heartbeat call, because the call and its reply carry the heartbeats of
// both. The process with the lower id calls. The other one also calls while no call from the first has arrived for 1.25
// intervals, so that heartbeats are exchanged before the heartbeat timeout even if connections can be opened in one
// direction only or the existing connection is unresponsive.
type Turns struct {
	self       oleanderline.VMID
	interval   time.Duration
	settleTime time.Duration

	mu         sync.Mutex
	lastCall   map[string]time.Time // when each peer with a lower id last called, by its address
	lastChange time.Time            // of the members
}

// NewTurns returns a Turns for heartbeats sent at an interval. For settleTime after a change of the members, both sides
// call.
func NewTurns(self oleanderline.VMID, interval, settleTime time.Duration) *Turns {
	return &Turns{self: self, interval: interval, settleTime: settleTime, lastCall: map[string]time.Time{}}
}

// RecordCall records that a peer has called. Calls from peers with a higher id are ignored.
func (t *Turns) RecordCall(caller Member, now time.Time) {
	if caller.ID >= t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.lastCall, func(_ string, called time.Time) bool { return t.overdue(called, now) })
	t.lastCall[caller.Address] = now
}

// MembersChanged records a change of the members. Both sides then call for settleTime, because handing over slots takes several
// exchanges of heartbeats, which are faster this way.
func (t *Turns) MembersChanged(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastChange = now
}

// PeerCalls reports whether the peer at an address is the one to send the next heartbeat call, so that this process need not.
func (t *Turns) PeerCalls(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	called, ok := t.lastCall[target]
	return ok && !t.overdue(called, now) && now.Sub(t.lastChange) >= t.settleTime
}

// overdue reports whether the peer's next call is late. It allows a quarter of the interval for jitter. This process
// notices an overdue call at most one interval later, so that no heartbeat is exchanged for at most 2.25 intervals.
// Heartbeat timeouts are 3 intervals or more.
func (t *Turns) overdue(called, now time.Time) bool { return now.Sub(called) > t.interval*5/4 }
