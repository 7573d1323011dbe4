package entry

import (
	"net"
	"time"
)

// bound returns the number of connections that this entry may hold to one minion. It counts every own VM that the VM list
// has or that is alive, by its address, so that an old and a new VM of one name count as two. A silent VM counts until
// the platform reports it gone, because it may only be paused and still hold its connections.
func (m *members) bound(now time.Time) (limit, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := map[string]bool{hostOf(m.view.Self().Address): true}
	for _, row := range m.listed {
		hosts[hostOf(row.Address)] = true
	}
	alive := m.view.Alive(now)
	for _, other := range alive {
		hosts[hostOf(other.Address)] = true
	}
	count = len(hosts)
	if !m.known {
		m.known = m.settled && m.countedByAllLocked(count)
	}
	return connectionBound(count, m.known), count
}

// countedByAllLocked reports whether every alive peer holds few enough connections for count own VMs.
func (m *members) countedByAllLocked(count int) bool {
	for id := range m.peers {
		if m.peers[id].counted < count {
			return false
		}
	}
	return true
}

// setCounted records for how many own VMs the connections of this entry are within the bound.
func (m *members) setCounted(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counted = count
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
