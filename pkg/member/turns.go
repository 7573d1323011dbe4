package member

import (
	"maps"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Turns decides which of two processes calls the other, because one call carries both heartbeats. The one with
// the lower id calls; the other one calls too while nothing has come from the first within the bound, so that a pair that
// can talk in one direction only, or whose one connection is silent, is still in touch before the heartbeat timeout.
type Turns struct {
	self     oleanderline.VMID
	interval time.Duration
	calm     time.Duration

	mu      sync.Mutex
	called  map[string]time.Time // by address of the caller
	changed time.Time
}

// NewTurns returns turns for heartbeats at an interval. For the time calm after a change of the members, both sides call.
func NewTurns(self oleanderline.VMID, interval, calm time.Duration) *Turns {
	return &Turns{self: self, interval: interval, calm: calm, called: map[string]time.Time{}}
}

// Note records the call of a peer.
func (t *Turns) Note(caller Member, now time.Time) {
	if caller.ID >= t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.called, func(_ string, called time.Time) bool { return t.late(called, now) })
	t.called[caller.Address] = now
}

// Disturb notes a change of the members. The hand-over of slots takes several exchanges, which both sides speed up.
func (t *Turns) Disturb(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changed = now
}

// Theirs reports whether the peer at an address is the one to call.
func (t *Turns) Theirs(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	called, ok := t.called[target]
	return ok && !t.late(called, now) && now.Sub(t.changed) >= t.calm
}

// late leaves a quarter of the interval for jitter. The other side finds that a call is late one interval later at the
// latest, so that the silence lasts 2.25 intervals at most, and heartbeat timeouts are 3 intervals or more.
func (t *Turns) late(called, now time.Time) bool { return now.Sub(called) > t.interval*5/4 }
