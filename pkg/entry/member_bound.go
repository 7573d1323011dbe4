package entry

import (
	"maps"
	"net"
	"slices"
	"time"
)

// hostMemory is how long a silent host that the VM list does not have is still counted, because it may only be paused
// and still hold its connections.
const hostMemory = 30 * time.Second

// host is a machine from which heartbeats came.
type host struct {
	heard   time.Time
	counted []string
}

func (m *members) noteHostLocked(b Heartbeat, now time.Time) {
	address := hostOf(b.Member.Address)
	if address != hostOf(m.view.Self().Address) {
		m.hosts[address] = host{heard: now, counted: b.Counted}
	}
}

// bound returns the number of connections that this entry may hold to one minion. It counts every own VM that the VM list
// has or that was heard, by its address, so that an old and a new VM of one name count as two. A silent VM counts until
// the platform reports it gone.
func (m *members) bound(now time.Time) (limit int, hosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counted := map[string]bool{hostOf(m.view.Self().Address): true}
	for _, row := range m.listed {
		counted[hostOf(row.Address)] = true
	}
	for address, h := range m.hosts {
		if now.Sub(h.heard) > hostMemory {
			delete(m.hosts, address)
			continue
		}
		counted[address] = true
	}
	if !m.known {
		m.known = m.countedByAllLocked(now)
	}
	return connectionBound(len(counted), m.known), slices.Sorted(maps.Keys(counted))
}

// countedByAllLocked reports whether every alive entry has few enough connections to leave this one its part. An old VM
// of the same name as a new one is not in the VM list, so that this entry waits until such a VM would have been heard.
func (m *members) countedByAllLocked(now time.Time) bool {
	if !m.settled || now.Sub(m.started) < 2*m.timeout {
		return false
	}
	self := hostOf(m.view.Self().Address)
	for _, h := range m.hosts {
		if now.Sub(h.heard) <= m.timeout && !slices.Contains(h.counted, self) {
			return false
		}
	}
	return true
}

// setCounted records the hosts for whose number the connections of this entry are within the bound.
func (m *members) setCounted(hosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counted = hosts
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
