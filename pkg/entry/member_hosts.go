package entry

import (
	"maps"
	"net"
	"slices"
	"time"
)

// silentHostRetention is how long a host is counted that is not in the VM list and sends no heartbeats: it may be paused
// and still have open connections.
const silentHostRetention = 30 * time.Second

// host is a host from which heartbeats were received.
type host struct {
	lastHeard    time.Time
	countedHosts []string
}

func (m *members) recordHostLocked(hb Heartbeat, now time.Time) {
	address := hostOf(hb.Member.Address)
	if address != hostOf(m.view.Self().Address) {
		m.hosts[address] = host{lastHeard: now, countedHosts: hb.Counted}
	}
}

// connectionLimit returns the number of connections that this entry may hold to one minion, and the hosts that it has
// counted for that. It counts, by address, all own VMs that are in the VM list or have sent heartbeats recently. An old
// and a new VM with the same id count as two. A VM that sends no heartbeats counts as long as the VM list has it.
func (m *members) connectionLimit(now time.Time) (limit int, countedHosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counted := map[string]bool{hostOf(m.view.Self().Address): true}
	for _, row := range m.listedVMs {
		counted[hostOf(row.Address)] = true
	}
	for address, h := range m.hosts {
		if now.Sub(h.lastHeard) > silentHostRetention {
			delete(m.hosts, address)
			continue
		}
		counted[address] = true
	}
	if !m.countedByAll {
		m.countedByAll = m.countedByAllLocked(now)
	}
	return connectionLimit(len(counted), m.countedByAll), slices.Sorted(maps.Keys(counted))
}

// countedByAllLocked reports whether every alive entry counts this one and has reduced its connections accordingly. An
// old VM with the id of a new one is not in the VM list. Therefore this entry first waits for two heartbeat timeouts, in
// which it would have received a heartbeat of such a VM.
func (m *members) countedByAllLocked(now time.Time) bool {
	if !m.contactedAll || now.Sub(m.started) < 2*m.timeout {
		return false
	}
	self := hostOf(m.view.Self().Address)
	for _, h := range m.hosts {
		if now.Sub(h.lastHeard) <= m.timeout && !slices.Contains(h.countedHosts, self) {
			return false
		}
	}
	return true
}

// setCountedHosts records the hosts for whose number this entry's connections are within the limit.
func (m *members) setCountedHosts(hosts []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countedHosts = hosts
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
