//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the pool, on which one minion lives at a time.
type machine struct {
	name   string
	minion *minion
	kind   string
	rack   string
	state  string // up, upkeep or down
	wave   int    // of its last upkeep
	fence  int64
	lives  int
}

// cloud is a stand-in for the service that manages the machines.
type cloud struct {
	cell *cell

	mu       sync.Mutex
	machines []*machine
	waves    map[int][]string
	maxDown  map[int]int
	down     map[int]int // machines of a wave that are down for their upkeep
	// intercept decides about an upkeep before it is carried out. It returns false if it has dealt with the call.
	intercept func(w http.ResponseWriter, r *http.Request, call upkeep) bool
}

// upkeep is an order to take a machine down.
type upkeep struct {
	Machine string `json:"machine"`
	Wave    int    `json:"wave"`
	fence   int64
	holder  string
}

func newCloud(c *cell) *cloud {
	return &cloud{cell: c, waves: map[int][]string{}, maxDown: map[int]int{}, down: map[int]int{}}
}

// addMachine adds a machine with its first minion.
func (c *cloud) addMachine(kind, rack string) (*machine, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{name: fmt.Sprintf("m%d", len(c.machines)+1), kind: kind, rack: rack, state: "up"}
	if err := c.startMinion(m); err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	return m, nil
}

// startMinion starts a new minion on a machine. The caller holds the mutex.
func (c *cloud) startMinion(m *machine) error {
	m.lives++
	started, err := c.cell.addMinion(fmt.Sprintf("w-%s-%d", m.name, m.lives), m.name, m.kind, m.rack)
	if err == nil {
		m.minion = started
	}
	return err
}

// request publishes a wave, as operators do.
func (c *cloud) request(wave int, names []string, duration time.Duration, maxDown int) {
	c.mu.Lock()
	c.waves[wave], c.maxDown[wave] = names, maxDown
	c.mu.Unlock()
	c.cell.journal.note("operator: wave %d of %v within %s, at most %d at once", wave, names, duration, maxDown)
	c.cell.publish("op", fmt.Sprintf("wave/%d", wave), map[string]any{
		"wave": wave, "machines": names, "durationS": duration.Seconds(), "maxCount": maxDown,
	})
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/machines":
		c.list(w)
	case r.Method == http.MethodPost && r.URL.Path == "/machine-upkeep":
		c.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for _, m := range c.machines {
		list = append(list, map[string]any{
			"machine": m.name, "pool": pool, "state": m.state, "zone": "a", "labels": []string{m.kind, m.rack},
			"capacity": map[string]int{"cpu": 4000, "memMb": 16000, "gpu": 0}, "id": m.minion.id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": list})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var call upkeep
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	call.holder = r.Header.Get("X-Oleanderline-Lease-Holder")
	call.fence, _ = strconv.ParseInt(r.Header.Get("X-Oleanderline-Fencing-Token"), 10, 64)
	if c.intercept != nil && !c.intercept(w, r, call) {
		return
	}
	status, message := c.carryOut(call)
	c.cell.journal.note("cloud: upkeep of %s from %s (fence %d): %d %v", call.Machine, call.holder, call.fence, status, message)
	answer(w, status, message)
}

// carryOut carries out an upkeep, and returns the answer.
func (c *cloud) carryOut(call upkeep) (int, map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machine(call.Machine)
	switch {
	case m == nil:
		return http.StatusBadRequest, map[string]any{}
	case call.fence < m.fence:
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	m.fence = call.fence
	switch {
	case !c.inWave(call):
		return http.StatusConflict, map[string]any{"reason": "wave"}
	case m.wave == call.Wave:
		return http.StatusOK, map[string]any{}
	case m.state != "up":
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	if c.down[call.Wave] >= c.maxDown[call.Wave] {
		c.cell.journal.breach("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs, of at most %d",
			m.name, c.down[call.Wave], call.Wave, c.maxDown[call.Wave])
	}
	m.state, m.wave = "upkeep", call.Wave
	c.down[call.Wave]++
	c.cell.journal.note("cloud: the upkeep of %s begins", m.name)
	m.minion.leaveFor("upkeep")
	time.AfterFunc(upkeepTime, func() { c.bringBack(m) })
	return http.StatusOK, map[string]any{}
}

// bringBack ends the upkeep of a machine: a new minion joins.
func (c *cloud) bringBack(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[m.wave]--
	if err := c.startMinion(m); err != nil {
		c.cell.journal.note("cloud: no minion on %s: %v", m.name, err)
		return
	}
	m.state = "up"
	c.cell.journal.note("cloud: the upkeep of %s has ended", m.name)
}

func (c *cloud) machine(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (c *cloud) inWave(call upkeep) bool {
	for _, name := range c.waves[call.Wave] {
		if name == call.Machine {
			return true
		}
	}
	return false
}

// maintained returns how many machines of a wave have begun their upkeep.
func (c *cloud) maintained(wave int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, m := range c.machines {
		if m.wave == wave {
			count++
		}
	}
	return count
}
