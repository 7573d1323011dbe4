//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	maxHold           = 10 * time.Second
	stopGrace         = 200 * time.Millisecond
)

type size struct{ CPU, Memory int64 }

// step is what a minion and the checks know about a step. The stand-ins share the definitions of all jobs.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Memory      int64  `json:"memMb"`
	EstimateMS  int64  `json:"estDurationMs,omitempty"`
	Label       string `json:"requirements,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int64  `json:"targetMs,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"`
	Apart       int    `json:"antiAffinity,omitempty"`
}

type job struct {
	ID          string `json:"-"`
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int64  `json:"repeatCount,omitempty"`
	StartAtMS   int64  `json:"startAtMs,omitempty"`
	IntervalMS  int64  `json:"intervalMs,omitempty"`

	runTime  time.Duration // of a task
	quiet    bool          // its runs are counted in the record, not listed
	accepted bool
}

// minion is one machine of the fleet with its agent.
type minion struct {
	rig      *rig
	id       string
	machine  string
	service  string
	zone     string
	guards   bool
	address  string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	up       bool
	born     time.Time
	capacity size
	labels   []string
	fence    int64
	runs     map[string]*run // by task
	highest  map[string]int64
	ended    [][]any
	ends     int64
	deadline int64 // on the minion's clock, in milliseconds; 0 if none
	sequence int64
	changed  chan struct{}
	life     int
}

type run struct {
	task     string
	number   int64
	started  time.Time
	job      *job
	step     step
	runTime  time.Duration
	stopping time.Time
}

func (r *rig) addMinion(id string, labels []string, capacity size, guards bool) *minion {
	m := &minion{rig: r, id: id, machine: "m-" + id, service: r.service, zone: "z-a", guards: guards, capacity: capacity, labels: labels}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	m.address = listener.Addr().String()
	r.must(listener.Close())
	r.minions = append(r.minions, m)
	m.start(labels, capacity)
	go m.tick()
	return m
}

// start begins a new life of the minion, which knows nothing of earlier ones.
func (m *minion) start(labels []string, capacity size) {
	m.mu.Lock()
	m.up, m.born, m.labels, m.capacity = true, time.Now(), labels, capacity
	m.life++
	m.fence, m.runs, m.highest, m.ended, m.ends, m.deadline, m.sequence = 0, map[string]*run{}, map[string]int64{}, nil, 0, 0, 0
	m.changed = make(chan struct{})
	m.mu.Unlock()
	listener, err := net.Listen("tcp", m.address)
	m.rig.must(err)
	m.server = &http.Server{Handler: m}
	server := m.server
	go func() { _ = server.Serve(listener) }()
	m.beat()
}

// crash ends a life: all that ran there is gone.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	lost := 0
	for _, r := range m.runs {
		lost++
		m.rig.runEnded(m, r, "lost")
	}
	m.runs = map[string]*run{}
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	_ = m.server.Close()
	m.rig.note("minion %s crashes with %d runs", m.id, lost)
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// beat writes the entry of the minion in the directory.
func (m *minion) beat() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.sequence++
	entry := map[string]any{
		"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": m.capacity.CPU, "memMb": m.capacity.Memory, "gpu": 0}, "labels": m.labels,
		"clockMs": m.clock(), "seqNo": m.sequence, "born": m.born.UnixMilli(),
	}
	m.mu.Unlock()
	data, err := json.Marshal(entry)
	m.rig.must(err)
	m.rig.store.put("keyed.servers", m.id, data)
}

func (m *minion) tick() {
	lastBeat := time.Now()
	for range time.Tick(10 * time.Millisecond) {
		if m.rig.closed.Load() {
			return
		}
		if time.Since(lastBeat) >= heartbeatInterval {
			lastBeat = time.Now()
			m.beat()
		}
		m.mu.Lock()
		now := time.Now()
		expired := m.deadline > 0 && m.clock() > m.deadline
		for task, r := range m.runs {
			switch {
			case expired:
				m.end(task, "lapsed")
			case !r.stopping.IsZero() && now.Sub(r.stopping) >= stopGrace/2:
				m.end(task, "stopped")
			case !r.step.LongRunning && now.Sub(r.started) >= r.runTime:
				m.end(task, "done")
			}
		}
		m.mu.Unlock()
	}
}

// end ends the run of a task. The caller holds the mutex.
func (m *minion) end(task, how string) {
	r := m.runs[task]
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.ends++
	m.ended = append(m.ended, []any{m.ends, task, r.number, how, ""})
	m.rig.runEnded(m, r, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"lastCheckpoint"`
	Acked      int64  `json:"ackCursor"`
	WaitMS     int64  `json:"waitMs"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	life := m.life
	if target := r.Header.Get("X-Oleanderline-Target-Instance"); target != "" && target != m.id {
		m.mu.Unlock()
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if o.Fence < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		m.handleStart(w, o)
	case "/run-stop":
		if existing := m.runs[o.Task]; existing != nil && existing.number == o.Run && existing.stopping.IsZero() {
			existing.stopping = time.Now()
		}
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		m.accept(w)
	case "/pace":
		m.accept(w)
	case "/hold":
		m.handleHold(w, r, o, life)
	default:
		m.mu.Unlock()
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

// accept and refuse answer an order and release the mutex.
func (m *minion) accept(w http.ResponseWriter) {
	body := map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli()}
	m.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "reason": reason}
	m.mu.Unlock()
	answer(w, http.StatusConflict, body)
}

func (m *minion) extend(deadline int64) {
	if deadline > 0 {
		m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
	}
}

// used returns the capacity in use: the CPU of tasks that fill does not count.
func (m *minion) used() size {
	var used size
	for _, r := range m.runs {
		if !r.step.Fills {
			used.CPU += r.step.CPU
		}
		used.Memory += r.step.Memory
	}
	return used
}

// fits reports whether a task fits beside what is used, without overflow.
func (m *minion) fits(s step) bool {
	used := m.used()
	cpu := s.CPU
	if s.Fills {
		cpu = 0
	}
	return cpu <= m.capacity.CPU-used.CPU && s.Memory <= m.capacity.Memory-used.Memory
}

func (m *minion) handleStart(w http.ResponseWriter, o order) {
	if existing := m.runs[o.Task]; existing != nil && existing.number == o.Run {
		m.extend(o.Deadline)
		m.accept(w)
		return
	}
	j, s, ok := m.rig.definition(o.Task)
	switch {
	case !ok:
		m.rig.violate("UNASKED", "minion %s is told to start %s/%d, which no client sent", m.id, o.Task, o.Run)
		m.refuse(w, "old")
		return
	case o.Deadline <= m.clock():
		m.refuse(w, "late")
		return
	case o.Run <= m.highest[o.Task]:
		m.extend(o.Deadline)
		m.refuse(w, "old")
		return
	case m.guards && !m.fits(s):
		m.extend(o.Deadline)
		m.refuse(w, "room")
		return
	}
	m.extend(o.Deadline)
	r := &run{task: o.Task, number: o.Run, started: time.Now(), job: j, step: s, runTime: j.runTime}
	m.rig.runStarted(m, r, o)
	m.runs[o.Task] = r
	m.accept(w)
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request, o order, life int) {
	m.extend(o.Deadline)
	kept := m.ended[:0]
	for _, end := range m.ended {
		if end[0].(int64) > o.Acked {
			kept = append(kept, end)
		} else {
			m.rig.endNoted(end[1].(string), end[3].(string))
		}
	}
	m.ended = kept
	timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting && len(m.ended) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.mu.Lock()
		if !m.up || m.life != life {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, r := range m.runs {
		percent, gauge := 100, int64(0)
		switch {
		case r.step.LongRunning:
			gauge = r.step.TargetMS / 4
			if time.Since(r.started) < 200*time.Millisecond {
				percent = 0
			}
		default:
			percent = int(min(99, 100*time.Since(r.started)/max(1, r.runTime)))
			gauge = r.step.CPU
		}
		running = append(running, []any{r.task, r.number, "", percent, gauge})
	}
	body := map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": append([][]any{}, m.ended[:min(len(m.ended), 500)]...)}
	m.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// splitTask splits the name of a task into its job, occurrence, step and index.
func splitTask(name string) (id string, occurrence int64, stepIndex, index int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, fmt.Errorf("malformed task name %q", name)
	}
	var numbers [3]int64
	for i, part := range parts[1:] {
		if numbers[i], err = strconv.ParseInt(part, 10, 64); err != nil {
			return "", 0, 0, 0, err
		}
	}
	return parts[0], numbers[0], int(numbers[1]), int(numbers[2]), nil
}
