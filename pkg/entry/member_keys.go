package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// keyPlan tells where a key is decided and whose consent a new home needs.
type keyPlan struct {
	home oleanderline.VMID
	// earlier are alive members that may have been the key's home within the time for which keys are kept.
	earlier []oleanderline.VMID
	// homeLost means that the key's earlier home has died and may have permitted the request.
	homeLost bool
}

// keysReady reports whether this process may decide about keys: it has not been paused unnoticed, it has asked every
// listed own VM since it started or resumed, and at least half of them are alive. A process that is cut off from the
// others must not decide, because they go on without it.
func (m *members) keysReady(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.settled || now.Sub(m.lastTick) > m.timeout {
		return false
	}
	live := 0
	for _, row := range m.listed {
		if row.State == oleanderline.VMLive {
			live++
		}
	}
	return 2*len(m.view.Alive(now)) >= live
}

// plan returns the plan of a key in the present view.
func (m *members) plan(key string, now time.Time) keyPlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self().ID
	var ids, old []oleanderline.VMID
	for _, other := range m.view.Alive(now) {
		ids = append(ids, other.ID)
		since := m.since
		if other.ID != self {
			since = m.peers[other.ID].since
		}
		if now.Sub(since) > m.keep {
			old = append(old, other.ID)
		}
	}
	p := keyPlan{home: member.Home(key, m.view.Eligible(now))}
	if p.home == "" {
		p.home = self
	}
	p.homeLost = m.lostHomeLocked(key, ids)
	for _, earlier := range []oleanderline.VMID{member.Home(key, ids), member.Home(key, old)} {
		if earlier != "" && earlier != p.home && !slices.Contains(p.earlier, earlier) {
			p.earlier = append(p.earlier, earlier)
		}
	}
	return p
}

// lostHomeLocked reports whether a member that has died would be the key's home. A process that has taken the name of
// the dead one does not have its keys. A silent member counts at once, because it is no longer alive from then on, and
// expire notes its loss only with the next round of heartbeats.
func (m *members) lostHomeLocked(key string, alive []oleanderline.VMID) bool {
	dead := map[oleanderline.VMID]bool{}
	for id := range m.lost {
		dead[id] = true
	}
	for id := range m.peers {
		if !slices.Contains(alive, id) {
			dead[id] = true
		}
	}
	if len(dead) == 0 {
		return false
	}
	all := slices.Concat(alive, slices.Collect(maps.Keys(dead)))
	return dead[member.Home(key, all)]
}
