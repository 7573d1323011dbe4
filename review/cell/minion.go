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
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 400 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	advanceTime = 5 * time.Millisecond
	maxEnds     = 500
)

// minion is a stand-in for a minion. All its lives have the same id and address.
type minion struct {
	cell    *cell
	id      string
	machine string
	rack    string
	address string

	mu     sync.Mutex
	life   *life // nil while the minion is down
	server *http.Server
}

// life is one lifetime of a minion. The minion's mutex guards it.
type life struct {
	kind     string
	born     time.Time
	cpu, mem int // capacity
	sequence int // of the entries in the directory
	fence    int64
	deadline int64
	runs     map[string]*run // by task
	highest  map[string]int  // by task, the highest run that was stopped or has ended
	ends     []end
	lastEnd  int64
	changed  chan struct{} // closed and replaced at each end
	gone     chan struct{} // closed when the life ends
}

type run struct {
	number  int
	step    step
	began   time.Time
	stopped time.Time // when a stop was ordered
	atWork  bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// observer is told what happens on minions. It is called with the minion's mutex held.
type observer interface {
	began(m *minion, l *life, task string, r *run)
	atWork(m *minion, task string)
	ended(m *minion, task string, how string)
}

// addMinion starts a minion on a new machine.
func (c *cell) addMinion(id, machine, kind, rack string) (*minion, error) {
	m := &minion{cell: c, id: id, machine: machine, rack: rack}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = listener.Addr().String()
	c.mu.Lock()
	c.minions = append(c.minions, m)
	c.mu.Unlock()
	m.begin(kind, listener)
	return m, nil
}

// begin starts a life: it registers in the directory, and then answers calls.
func (m *minion) begin(kind string, listener net.Listener) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &life{
		kind: kind, born: time.Now(), cpu: 4000, mem: 16000, runs: map[string]*run{}, highest: map[string]int{},
		changed: make(chan struct{}), gone: make(chan struct{}),
	}
	m.life = l
	m.register()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /pace", m.handle(m.pace))
	mux.HandleFunc("POST /hold", m.hold)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	server := m.server
	go func() { _ = server.Serve(listener) }() // returns when the life ends
	go m.advanceUntil(l)
	go m.heartbeat(l)
}

// restart starts another life at the same address, with the same id.
func (m *minion) restart(kind string) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.begin(kind, listener)
	return nil
}

// crash ends the life: everything that runs ends unseen, and calls are refused.
func (m *minion) crash() { m.terminate("crash") }

// terminate ends the life at once, for a cause.
func (m *minion) terminate(cause string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return
	}
	m.cell.journal.note("%s: the minion ends: %s; %d runs end with it", m.id, cause, len(m.life.runs))
	for task := range m.life.runs {
		m.cell.observed().ended(m, task, cause)
	}
	close(m.life.gone)
	m.life = nil
	_ = m.server.Close()
}

// leaveFor ends the life for a cause, and removes its entry from the directory.
func (m *minion) leaveFor(cause string) {
	m.terminate(cause)
	m.cell.publish("servers", m.id, nil)
}

// register writes the entry of the directory. The caller holds the mutex.
func (m *minion) register() {
	l := m.life
	l.sequence++
	m.cell.publish("servers", m.id, map[string]any{
		"service": pool, "addr": m.address, "zone": "a", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seqNo": l.sequence,
		"capacity": map[string]int{"cpu": l.cpu, "memMb": l.mem, "gpu": 0}, "labels": []string{l.kind, m.rack}, "born": l.born.UnixMilli(),
	})
}

func (m *minion) heartbeat(l *life) {
	for {
		select {
		case <-l.gone:
			return
		case <-time.After(heartbeat):
		}
		m.mu.Lock()
		if m.life == l {
			m.register()
		}
		m.mu.Unlock()
	}
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// advanceUntil ends and advances runs until the life ends.
func (m *minion) advanceUntil(l *life) {
	for {
		select {
		case <-l.gone:
			return
		case <-time.After(advanceTime):
		}
		m.mu.Lock()
		if m.life == l {
			m.advance(l)
		}
		m.mu.Unlock()
	}
}

func (m *minion) advance(l *life) {
	for task, r := range l.runs {
		switch {
		case l.clock() >= l.deadline:
			m.endRun(l, task, "lapsed")
		case !r.stopped.IsZero() && time.Since(r.stopped) >= stopTime:
			m.endRun(l, task, "stopped")
		case !r.step.LongRunning && time.Since(r.began) >= time.Duration(r.step.EstimateMS)*time.Millisecond:
			m.endRun(l, task, "done")
		case r.step.LongRunning && !r.atWork && time.Since(r.began) >= startupTime:
			r.atWork = true
			m.cell.observed().atWork(m, task)
		}
	}
}

func (m *minion) endRun(l *life, task, how string) {
	r := l.runs[task]
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, end{l.lastEnd, task, r.number, how})
	m.cell.journal.note("%s: %s run %d ends: %s", m.id, task, r.number, how)
	m.cell.observed().ended(m, task, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Fence    int64  `json:"fencingToken"`
	Ack      int64  `json:"ackCursor"`
	WaitMS   int64  `json:"waitMs"`
}

// handle decodes an order for this minion, checks its fence, and answers with the result of carry.
func (m *minion) handle(carry func(l *life, o order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, l, ok := m.accept(w, r)
		if !ok {
			return
		}
		reason := carry(l, o)
		clock := l.clock()
		m.mu.Unlock()
		if reason != "" {
			answer(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
			return
		}
		answer(w, http.StatusOK, map[string]any{"clockMs": clock})
	}
}

// accept decodes an order and checks its target and fence. If it returns true, the mutex is held.
func (m *minion) accept(w http.ResponseWriter, r *http.Request) (order, *life, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return o, nil, false
	}
	if r.Header.Get("X-Oleanderline-Target-Instance") != m.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return o, nil, false
	}
	m.mu.Lock()
	l := m.life
	if l == nil {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < l.fence {
		clock := l.clock()
		m.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return o, nil, false
	}
	l.fence = o.Fence
	return o, l, true
}

func (l *life) extend(deadline int64) {
	l.deadline = max(l.deadline, min(deadline, l.clock()+maxHold.Milliseconds()))
}

// start carries out a start, and returns why it is refused, if it is.
func (m *minion) start(l *life, o order) string {
	if o.Deadline <= l.clock() {
		return "late"
	}
	l.extend(o.Deadline)
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= l.highest[o.Task] || l.runs[o.Task] != nil {
		return "old"
	}
	s, ok := m.cell.stepOf(o.Task)
	if !ok {
		m.cell.journal.breach("UNASKED: %s is told to start %s, which no client has sent", m.id, o.Task)
		return "old"
	}
	cpu, mem := s.CPU, s.Memory
	for _, r := range l.runs {
		cpu, mem = cpu+r.step.CPU, mem+r.step.Memory
	}
	if cpu > l.cpu || mem > l.mem {
		return "room"
	}
	r := &run{number: o.Run, step: s, began: time.Now()}
	l.runs[o.Task] = r
	m.cell.journal.note("%s (kind %s, born %d): %s run %d begins", m.id, l.kind, l.born.UnixMilli(), o.Task, o.Run)
	m.cell.observed().began(m, l, o.Task, r)
	return ""
}

func (m *minion) stop(l *life, o order) string {
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		if r.stopped.IsZero() {
			r.stopped = time.Now()
		}
		return ""
	}
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	return ""
}

func (m *minion) pace(*life, order) string { return "" }

// hold renews leases, forgets acknowledged ends and answers with both lists, at the latest when the wait time has passed.
func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, l, ok := m.accept(w, r)
	if !ok {
		return
	}
	if o.Deadline > 0 {
		l.extend(o.Deadline)
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.Ack {
		l.ends = l.ends[1:]
	}
	changed, wait := l.changed, len(l.ends) == 0 && o.WaitMS > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		case <-l.gone:
			panic(http.ErrAbortHandler)
		}
	}
	m.mu.Lock()
	running, ended := l.lists()
	clock := l.clock()
	m.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"clockMs": clock, "born": l.born.UnixMilli(), "running": running, "ended": ended})
}

func (l *life) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for task, r := range l.runs {
		percent := 0
		switch {
		case r.atWork:
			percent = 100
		case !r.step.LongRunning && r.step.EstimateMS > 0:
			percent = min(99, int(100*time.Since(r.began).Milliseconds())/r.step.EstimateMS)
		}
		running = append(running, []any{task, r.number, "", percent, 1})
	}
	for _, e := range l.ends[:min(len(l.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, ended
}

func answer(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message) // fails only if the caller has disconnected
}

// stepOf returns the step of a task name, ID.K.STEP.INDEX, if a client has sent its job.
func (c *cell) stepOf(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	j, ok := c.job(parts[0])
	number, err := strconv.Atoi(parts[2])
	if !ok || err != nil || number < 0 || number >= len(j.Steps) {
		return step{}, false
	}
	return j.Steps[number], true
}

// stepName returns the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndex(task, ".")] }

// jobID returns an id of a job.
func jobID(number int) string { return fmt.Sprintf("%016x", 0x5eb1e00000000000+number) }
