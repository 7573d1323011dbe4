package entry

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// keyPlan describes, for one key and the current membership view, which member decides about the key and which other
// members must consent.
type keyPlan struct {
	home oleanderline.VMID
	// earlierHomes are the alive members that may have been the key's home within the retention time of keys.
	earlierHomes []oleanderline.VMID
	// backup is the member that stores the record before the request runs, or "" if no other member is alive.
	backup oleanderline.VMID
	// peers are all alive peers in rendezvous order. All homes ask them in this order, so that of two concurrent
	// attempts all of them permit the same one.
	peers []oleanderline.VMID
	// mayPermitUnbacked means that this process may permit requests if there is no backup.
	mayPermitUnbacked bool
	// homeLost means that an earlier home of the key has failed and may have permitted the request.
	homeLost bool
	// mayTakeOver means that the failed home has not permitted the request if no alive member has a record of the key.
	mayTakeOver bool
}

// keysReady reports whether this process may decide about keys: no undetected pause is possible, it has tried to contact
// every listed own VM since it started or resumed, and at least half of them are alive. A process that is partitioned
// from the others must not decide, because they continue without it.
func (m *members) keysReady(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.contactedAll || now.Sub(m.lastTick) > m.timeout {
		return false
	}
	return m.halfAliveLocked(now)
}

// halfAliveLocked reports whether at least half of the listed own VMs are alive.
func (m *members) halfAliveLocked(now time.Time) bool {
	return 2*len(m.view.Alive(now)) >= m.listedLiveCountLocked()
}

func (m *members) listedLiveCountLocked() int {
	live := 0
	for _, row := range m.listedVMs {
		if row.State == oleanderline.VMLive {
			live++
		}
	}
	return live
}

// keyPlan returns the plan for a key in the current view.
func (m *members) keyPlan(key string, now time.Time) keyPlan {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self().ID
	var alive, established []oleanderline.VMID
	for _, other := range m.view.Alive(now) {
		alive = append(alive, other.ID)
		since := m.uninterruptedSince
		if other.ID != self {
			since = m.peers[other.ID].uninterruptedSince
		}
		if now.Sub(since) > m.keyRetention {
			established = append(established, other.ID)
		}
	}
	p := keyPlan{home: member.Home(key, m.view.Eligible(now))}
	if p.home == "" {
		p.home = self
	}
	p.backup = m.backupLocked(key, p.home, alive, now)
	p.peers = member.Rank(key, slices.DeleteFunc(slices.Clone(alive), func(id oleanderline.VMID) bool { return id == self }))
	p.mayPermitUnbacked = m.majorityMarginLocked(alive) >= 0
	p.homeLost = m.homeLostLocked(key, alive, alive) || m.homeLostLocked(key, established, alive)
	p.mayTakeOver = p.homeLost && m.mayTakeOverLocked(alive)
	for _, earlier := range []oleanderline.VMID{member.Home(key, alive), member.Home(key, established)} {
		if earlier != "" && earlier != p.home && !slices.Contains(p.earlierHomes, earlier) {
			p.earlierHomes = append(p.earlierHomes, earlier)
		}
	}
	return p
}

// backupLocked returns the member after the home in rendezvous order. A draining member is selected only if there is no
// other; it hands its records over when it stops.
func (m *members) backupLocked(key string, home oleanderline.VMID, alive []oleanderline.VMID, now time.Time) oleanderline.VMID {
	notHome := func(ids []oleanderline.VMID) []oleanderline.VMID {
		return slices.DeleteFunc(slices.Clone(ids), func(id oleanderline.VMID) bool { return id == home })
	}
	if backup := member.Home(key, notHome(m.view.Eligible(now))); backup != "" {
		return backup
	}
	return member.Home(key, notHome(alive))
}

// homeLostLocked reports whether a failed member would be the key's home if it were alive beside the members in ids. A
// new incarnation of the failed member does not have its keys.
func (m *members) homeLostLocked(key string, ids, alive []oleanderline.VMID) bool {
	lost := m.lostIDsLocked(alive)
	return len(lost) > 0 && slices.Contains(lost, member.Home(key, slices.Concat(ids, lost)))
}

// lostIDsLocked returns the ids of the failed members, without duplicates. A member counts as failed from its heartbeat
// timeout on, although expire may run later.
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

// mayTakeOverLocked reports whether a key without a record at any alive member cannot have been permitted. A permitted
// key has records at its home and its backup, so that both records are lost if two members have failed, or one that had
// no backup. Without a majority, the missing member may be alive on the other side of a network partition.
func (m *members) mayTakeOverLocked(alive []oleanderline.VMID) bool {
	for _, l := range m.lost {
		if l.unbackedKeys {
			return false
		}
	}
	for id, p := range m.peers {
		if p.unbackedKeys && !slices.Contains(alive, id) {
			return false
		}
	}
	missing := m.lostIDsLocked(alive)
	for _, row := range m.listedVMs {
		// A listed member that has sent no heartbeat to this process may be the backup of the failed one.
		if row.State == oleanderline.VMLive && !slices.Contains(alive, row.ID) && !slices.Contains(m.departedIDsLocked(), row.ID) {
			missing = append(missing, row.ID)
		}
	}
	slices.Sort(missing)
	return len(slices.Compact(missing)) <= 1 && m.majorityMarginLocked(alive) > 0
}

// departedIDsLocked returns the ids of the members that made a planned stop within the retention time of keys.
func (m *members) departedIDsLocked() []oleanderline.VMID {
	var ids []oleanderline.VMID
	for d := range m.departed {
		ids = append(ids, d.ID)
	}
	return ids
}

// majorityMarginLocked returns a positive number if more than half of the members are alive or made a planned stop, and
// zero if exactly half are. The total is the number of members that were alive within the retention time of keys, or of
// those in the VM list if that is larger, because the VM list lags.
func (m *members) majorityMarginLocked(alive []oleanderline.VMID) int {
	present := slices.Concat(alive, m.departedIDsLocked())
	slices.Sort(present)
	present = slices.Compact(present)
	all := slices.Concat(present, m.lostIDsLocked(alive))
	slices.Sort(all)
	return 2*len(present) - max(len(slices.Compact(all)), m.listedLiveCountLocked())
}

// recordUnbackedUntil records that a request whose key has no copy at a backup may run until the given time.
func (m *members) recordUnbackedUntil(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.unbackedUntil) {
		m.unbackedUntil = until
	}
}

func (m *members) hasUnbackedKeysLocked(now time.Time) bool {
	return now.Sub(m.unbackedUntil) <= m.keyRetention
}

// incarnation returns the incarnation of an alive member, or 0.
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
