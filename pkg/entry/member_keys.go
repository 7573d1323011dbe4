package entry

import (
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
	// backup stores the begin record before the request runs; "" if no other member is alive.
	backup oleanderline.VMID
	// others are all alive peers in rendezvous order, so that the first of two attempts wins at all homes.
	others []oleanderline.VMID
	// mayBeAlone means that this process may give permissions when there is no backup.
	mayBeAlone bool
	// homeLost means that the key's earlier home has died and may have permitted the request.
	homeLost bool
	// mayTakeOver means that the earlier home did not permit the request if no alive member knows the key.
	mayTakeOver bool
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
	return m.halfLocked(now)
}

// halfLocked reports whether at least half of the listed own VMs are alive.
func (m *members) halfLocked(now time.Time) bool {
	return 2*len(m.view.Alive(now)) >= m.listedLiveLocked()
}

func (m *members) listedLiveLocked() int {
	live := 0
	for _, row := range m.listed {
		if row.State == oleanderline.VMLive {
			live++
		}
	}
	return live
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
	p.backup = m.backupLocked(key, p.home, ids, now)
	p.others = member.Rank(key, slices.DeleteFunc(slices.Clone(ids), func(id oleanderline.VMID) bool { return id == self }))
	p.mayBeAlone = m.weightLocked(ids) >= 0
	p.homeLost = m.lostHomeLocked(key, ids, ids) || m.lostHomeLocked(key, old, ids)
	p.mayTakeOver = p.homeLost && m.mayTakeOverLocked(ids)
	for _, earlier := range []oleanderline.VMID{member.Home(key, ids), member.Home(key, old)} {
		if earlier != "" && earlier != p.home && !slices.Contains(p.earlier, earlier) {
			p.earlier = append(p.earlier, earlier)
		}
	}
	return p
}

// backupLocked returns the member after the home in rendezvous order. A member that drains is taken only if there is no
// other: it hands its records over when it leaves.
func (m *members) backupLocked(key string, home oleanderline.VMID, alive []oleanderline.VMID, now time.Time) oleanderline.VMID {
	notHome := func(ids []oleanderline.VMID) []oleanderline.VMID {
		return slices.DeleteFunc(slices.Clone(ids), func(id oleanderline.VMID) bool { return id == home })
	}
	if backup := member.Home(key, notHome(m.view.Eligible(now))); backup != "" {
		return backup
	}
	return member.Home(key, notHome(alive))
}

// lostHomeLocked reports whether a member that has died would be the key's home beside the given ones. A process that
// has taken the name of the dead one does not have its keys.
func (m *members) lostHomeLocked(key string, ids, alive []oleanderline.VMID) bool {
	lost := m.lostIDsLocked(alive)
	return len(lost) > 0 && slices.Contains(lost, member.Home(key, slices.Concat(ids, lost)))
}

// lostIDsLocked returns the names of the members that have died, without repeats. A silent member counts
// from its timeout on, although expire may run later.
func (m *members) lostIDsLocked(alive []oleanderline.VMID) []oleanderline.VMID {
	var ids []oleanderline.VMID
	for l := range m.lost {
		ids = append(ids, l.ID)
	}
	for id := range m.peers {
		if !slices.Contains(alive, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// mayTakeOverLocked reports whether a key that no alive member knows cannot have been permitted. Home and backup both
// know a permitted key, so two lost members may have taken it with them, and so may one that had no backup. Without a
// majority the lost member may live on the other side of a separation.
func (m *members) mayTakeOverLocked(alive []oleanderline.VMID) bool {
	for _, l := range m.lost {
		if l.alone {
			return false
		}
	}
	for id, p := range m.peers {
		if p.alone && !slices.Contains(alive, id) {
			return false
		}
	}
	missing := m.lostIDsLocked(alive)
	for _, row := range m.listed {
		// A listed member that this process has not heard of may be a backup of the lost one.
		if row.State == oleanderline.VMLive && !slices.Contains(alive, row.ID) && !slices.Contains(m.departedIDsLocked(), row.ID) {
			missing = append(missing, row.ID)
		}
	}
	slices.Sort(missing)
	return len(slices.Compact(missing)) <= 1 && m.weightLocked(alive) > 0
}

// departedIDsLocked returns the names of the members that have stopped as planned within the keep time.
func (m *members) departedIDsLocked() []oleanderline.VMID {
	var ids []oleanderline.VMID
	for d := range m.departed {
		ids = append(ids, d.ID)
	}
	return ids
}

// weightLocked is positive if more, and zero if exactly half of the members are alive or have stopped as planned. It
// counts those that are listed and those that were alive within the keep time, because the VM list lags.
func (m *members) weightLocked(alive []oleanderline.VMID) int {
	present := slices.Concat(alive, m.departedIDsLocked())
	slices.Sort(present)
	present = slices.Compact(present)
	all := slices.Concat(present, m.lostIDsLocked(alive))
	slices.Sort(all)
	return 2*len(present) - max(len(slices.Compact(all)), m.listedLiveLocked())
}

// holdAlone notes that until then a request may run whose key has no copy at a backup.
func (m *members) holdAlone(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.alone) {
		m.alone = until
	}
}

func (m *members) aloneLocked(now time.Time) bool {
	return now.Sub(m.alone) <= m.keep
}

// incarnation returns the incarnation of an alive peer, or 0.
func (m *members) incarnation(id oleanderline.VMID, now time.Time) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, other := range m.view.Alive(now) {
		if other.ID == id {
			return other.Incarnation
		}
	}
	return 0
}
