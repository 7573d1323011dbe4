package entry

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

// minions holds the clients of all listed minions. Lookups of clients and failure domains are lock-free.
type minions struct {
	common   *common.Common
	settings minion.Settings
	clients  atomic.Pointer[map[oleanderline.MinionID]*minion.Client]
	domains  atomic.Pointer[map[oleanderline.MinionID]oleanderline.DomainID]

	mu              sync.Mutex
	rows            []oleanderline.VM
	reportedLeaving map[oleanderline.MinionID]bool // minions that report that they are leaving
	limit           int
}

func newMinions(c *common.Common, settings minion.Settings, limit int) *minions {
	m := &minions{common: c, settings: settings, reportedLeaving: map[oleanderline.MinionID]bool{}, limit: limit}
	m.clients.Store(&map[oleanderline.MinionID]*minion.Client{})
	m.domains.Store(&map[oleanderline.MinionID]oleanderline.DomainID{})
	c.Metrics.NewGauge("oleander_entry_minion_connections", func() float64 { return float64(m.connections()) }) // open connections to all minions
	return m
}

// get returns the client of a minion, or nil if the minion is not listed.
func (m *minions) get(id oleanderline.MinionID) *minion.Client {
	return (*m.clients.Load())[id]
}

// setRows replaces the rows of the VM list. It returns the minions in the form that the core takes, or nil if nothing has
// changed.
func (m *minions) setRows(rows []oleanderline.VM) []dispatch.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows = slices.DeleteFunc(slices.Clone(rows), func(row oleanderline.VM) bool { return row.Role != oleanderline.RoleMinion })
	if slices.Equal(rows, m.rows) {
		return nil
	}
	m.rows = rows
	old := *m.clients.Load()
	clients := make(map[oleanderline.MinionID]*minion.Client, len(old))
	domains := make(map[oleanderline.MinionID]oleanderline.DomainID, len(old))
	for _, row := range rows {
		id := oleanderline.MinionID(row.ID)
		client, ok := old[id]
		if !ok || client.Address() != row.Address {
			client = minion.NewClient(m.common, id, row.Address, m.limit, m.settings)
			delete(m.reportedLeaving, id)
		}
		clients[id] = client
		domains[id] = row.Domain
	}
	m.clients.Store(&clients)
	m.domains.Store(&domains)
	for id, client := range old {
		if clients[id] != client {
			client.Close()
		}
	}
	return m.listLocked()
}

func (m *minions) listLocked() []dispatch.Minion {
	list := make([]dispatch.Minion, 0, len(m.rows))
	for _, row := range m.rows {
		id := oleanderline.MinionID(row.ID)
		list = append(list, dispatch.Minion{
			ID:      id,
			Service: row.Service,
			Address: row.Address,
			Domain:  row.Domain,
			Rack:    row.Rack,
			Slots:   row.Slots,
			Leaving: row.State == oleanderline.VMLeaving || m.reportedLeaving[id],
		})
	}
	return list
}

// list returns the minions in the form that the core takes.
func (m *minions) list() []dispatch.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listLocked()
}

// domain returns the failure domain of a minion, or "" if it is not listed.
func (m *minions) domain(id oleanderline.MinionID) oleanderline.DomainID {
	return (*m.domains.Load())[id]
}

// setReportedLeaving records whether a minion reports that it is leaving. It returns the minions in the form that the
// core takes, or nil if nothing has changed.
func (m *minions) setReportedLeaving(id oleanderline.MinionID, leaving bool) []dispatch.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reportedLeaving[id] == leaving {
		return nil
	}
	if leaving {
		m.reportedLeaving[id] = true
	} else {
		delete(m.reportedLeaving, id)
	}
	return m.listLocked()
}

// reportedLeavingIDs returns the ids of the minions that report that they are leaving.
func (m *minions) reportedLeavingIDs() []oleanderline.MinionID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []oleanderline.MinionID
	for id := range m.reportedLeaving {
		ids = append(ids, id)
	}
	return ids
}

// serves reports whether the VM list has a minion for the service.
func (m *minions) serves(service oleanderline.ServiceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.rows {
		if m.rows[i].Service == service {
			return true
		}
	}
	return false
}

// setLimit changes the limit of connections to each minion.
func (m *minions) setLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit == limit {
		return
	}
	m.limit = limit
	for _, client := range *m.clients.Load() {
		client.SetLimit(limit)
	}
}

// currentLimit returns the limit of connections to each minion.
func (m *minions) currentLimit() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// withinLimit reports whether no minion has more than limit connections.
func (m *minions) withinLimit(limit int) bool {
	for _, client := range *m.clients.Load() {
		if client.Connections() > limit {
			return false
		}
	}
	return true
}

func (m *minions) connections() int {
	sum := 0
	for _, client := range *m.clients.Load() {
		sum += client.Connections()
	}
	return sum
}

func (m *minions) sweep() {
	for _, client := range *m.clients.Load() {
		client.CloseExpired()
	}
}

func (m *minions) close() {
	for _, client := range *m.clients.Load() {
		client.Close()
	}
}
