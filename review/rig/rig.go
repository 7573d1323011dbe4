//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueHost   = "q.example"
	queuePrefix = "/q/"
	serviceName = "svc"
	// Bounds of the pages, as in the settings file of a process.
	clientDeadline = 3 * time.Second
	clientTries    = 5 // the first, and the four retries that the pages give
	finishTime     = 14 * time.Second
	idleTime       = 3 * time.Second
)

// rig is the platform with its clients, minions and the nodes under test.
type rig struct {
	trouble      bool
	dir          string // folder of the case
	tmp          string
	service      string
	record       *os.File
	recordMu     sync.Mutex
	startedAt    time.Time
	store        *store
	storeAddress string
	minions      []*minion
	nodes        []*node
	closed       atomic.Bool
	stateless    http.Client

	mu         sync.Mutex
	jobs       map[string]*job
	active     map[string]map[*run]*minion // by task
	done       map[string]bool             // tasks with a run that has ended as done
	noted      map[string]bool             // tasks whose end as done is taken note of
	doneOf     map[string]int              // by job, tasks that are done
	runningOf  map[string]int              // by job, runs at work
	violations []string
	starts     int
}

// unfit ends a run that cannot be carried out.
type unfit struct{ err error }

func (r *rig) must(err error) {
	if err != nil {
		panic(unfit{err})
	}
}

func newRig(dir string, trouble bool) *rig {
	r := &rig{
		trouble: trouble, dir: dir, service: serviceName, startedAt: time.Now(), store: newStore(),
		jobs: map[string]*job{}, active: map[string]map[*run]*minion{}, done: map[string]bool{}, noted: map[string]bool{},
		doneOf: map[string]int{}, runningOf: map[string]int{},
	}
	var err error
	r.tmp, err = os.MkdirTemp("", "review")
	r.must(err)
	r.record, err = os.Create(filepath.Join(dir, "record.txt"))
	r.must(err)
	r.stateless = http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	r.storeAddress = r.serve(r.store)
	r.note("TROUBLE=%v", trouble)
	return r
}

// serve serves a stand-in on a free port and returns its address.
func (r *rig) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (r *rig) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.violations = append(r.violations, text)
	count := len(r.violations)
	r.mu.Unlock()
	if count <= 50 {
		r.note("BROKEN %s", text)
	}
}

// definition returns the job and the step of a task.
func (r *rig) definition(task string) (*job, step, bool) {
	id, occurrence, stepIndex, index, err := splitTask(task)
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if err != nil || j == nil || stepIndex < 0 || stepIndex >= len(j.Steps) || index < 0 || index >= j.Steps[stepIndex].Count || occurrence < 0 || occurrence >= max(1, j.RepeatCount) {
		return nil, step{}, false
	}
	return j, j.Steps[stepIndex], true
}

// runStarted records a start and checks TWICE, LIMIT and ROUTE.
func (r *rig) runStarted(m *minion, started *run, o order) {
	if !started.job.quiet {
		r.note("start %s/%d on %s fence %d", o.Task, o.Run, m.id, o.Fence)
	}
	r.mu.Lock()
	r.starts++
	r.runningOf[started.job.ID]++
	if r.active[o.Task] == nil {
		r.active[o.Task] = map[*run]*minion{}
	}
	others := len(r.active[o.Task])
	noted := r.noted[o.Task]
	r.active[o.Task][started] = m
	r.mu.Unlock()
	if others > 0 {
		r.violate("TWICE", "%s/%d starts on %s while another run of the task is at work", o.Task, o.Run, m.id)
	}
	if noted {
		r.violate("TWICE", "%s/%d starts on %s after an end as done was taken note of", o.Task, o.Run, m.id)
	}
	if !m.fits(started.step) {
		used := m.used()
		r.violate("LIMIT", "%s/%d with cpu %d, memMb %d starts on %s, where cpu %d of %d and memMb %d of %d are in use", o.Task, o.Run, started.step.CPU, started.step.Memory, m.id, used.CPU, m.capacity.CPU, used.Memory, m.capacity.Memory)
	}
	if started.step.Label != "" {
		found := false
		for _, label := range m.labels {
			found = found || label == started.step.Label
		}
		if !found {
			r.violate("ROUTE", "%s/%d needs label %q and starts on %s, born %.3f, which has the labels %q", o.Task, o.Run, started.step.Label, m.id, m.born.Sub(r.startedAt).Seconds(), m.labels)
		}
	}
}

func (r *rig) runEnded(m *minion, ended *run, how string) {
	if !ended.job.quiet {
		r.note("end %s/%d on %s %s", ended.task, ended.number, m.id, how)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[ended.task], ended)
	r.runningOf[ended.job.ID]--
	if how == "done" && !r.done[ended.task] {
		r.done[ended.task] = true
		r.doneOf[ended.job.ID]++
	}
}

// endNoted records that an end was taken note of.
func (r *rig) endNoted(task, how string) {
	if how != "done" {
		return
	}
	r.mu.Lock()
	r.noted[task] = true
	r.mu.Unlock()
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// configure stores the operator's configuration.
func (r *rig) configure(admissionCheck bool) {
	r.must(r.putJSON("config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": queueHost, "pathPrefix": queuePrefix, "type": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": 0, "service": r.service, "maxAttempts": 4, "stretch": 2.0,
		}},
		"services": []map[string]any{{"name": r.service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "admissionCheck": admissionCheck}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	}))
}

func (r *rig) putJSON(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r.store.put("keyed.op", key, data)
	r.note("operator stores op/%s", key)
	return nil
}

// call sends one request to a node.
func (r *rig) call(n *node, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Oleanderline-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := r.stateless.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// submit sends a job with the client's retries, and reports whether it was accepted.
func (r *rig) submit(j *job) bool {
	if j.ID == "" {
		j.ID = newID()
	}
	r.mu.Lock()
	r.jobs[j.ID] = j
	r.mu.Unlock()
	body, err := json.Marshal(j)
	r.must(err)
	for try := range clientTries {
		n := r.nodes[rand.IntN(len(r.nodes))]
		status, _, err := r.call(n, http.MethodPost, queuePrefix+j.ID, body)
		shown := string(body)
		if len(shown) > 400 {
			shown = shown[:400] + "..."
		}
		if !j.quiet || status != http.StatusOK {
			r.note("POST %s at %s: status %d %v; body of %d bytes", j.ID, n.name, status, err, len(body))
		}
		if try == 0 && j.quiet {
			r.note("POST %s at %s: status %d %v; body %s", j.ID, n.name, status, err, shown)
		}
		switch {
		case err == nil && status/100 == 2:
			r.mu.Lock()
			j.accepted = true
			r.mu.Unlock()
			return true
		case err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(time.Duration(300+try*300) * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, with the client's retries. It returns "410" for a job that is said not to exist, and "" if no
// node answers.
func (r *rig) state(id string) string {
	for range clientTries {
		n := r.nodes[rand.IntN(len(r.nodes))]
		status, body, err := r.call(n, http.MethodGet, queuePrefix+id, nil)
		if err == nil && status == http.StatusGone {
			return "410"
		}
		var reply struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &reply) == nil {
			return reply.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// checkLost checks the rule LOST after the end of the traffic: every accepted job is known and answered, and none that could be at
// work has nothing running for 3 s.
func (r *rig) checkLost(judged func(j *job) bool) {
	time.Sleep(finishTime)
	var accepted []*job
	r.mu.Lock()
	for _, j := range r.jobs {
		if j.accepted && judged(j) {
			accepted = append(accepted, j)
		}
	}
	r.mu.Unlock()
	idleSince := map[*job]time.Time{}
	reported := map[*job]bool{}
	for begin := time.Now(); time.Since(begin) < idleTime+500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		for _, j := range accepted {
			if !r.waits(j) || !r.hasRoom() {
				delete(idleSince, j)
				continue
			}
			if idleSince[j].IsZero() {
				idleSince[j] = time.Now()
			}
			if time.Since(idleSince[j]) >= idleTime && !reported[j] {
				reported[j] = true
				r.violate("LOST", "accepted job %s has had nothing running for 3 s, %d of its tasks are done, and under half of the capacity is in use", j.ID, r.doneCount(j))
			}
		}
	}
	known, completed := 0, 0
	for _, j := range accepted[:min(40, len(accepted))] {
		switch state := r.state(j.ID); state {
		case "410":
			r.violate("LOST", "accepted job %s is answered 410", j.ID)
		case "":
			r.violate("LOST", "accepted job %s gets no answer", j.ID)
		case "completed":
			known, completed = known+1, completed+1
		default:
			known++
		}
	}
	r.note("%d jobs were accepted; of %d that were asked for, %d are known and %d completed", len(accepted), min(40, len(accepted)), known, completed)
}

func (r *rig) doneCount(j *job) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doneOf[j.ID]
}

// waits reports whether a job has tasks left and none at work.
func (r *rig) waits(j *job) bool {
	total := 0
	for _, s := range j.Steps {
		total += s.Count * int(max(1, j.RepeatCount))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runningOf[j.ID] == 0 && r.doneOf[j.ID] < total
}

// hasRoom reports whether under half of the capacity of the minions is in use.
func (r *rig) hasRoom() bool {
	var used, all size
	for _, m := range r.minions {
		m.mu.Lock()
		if m.up {
			u := m.used()
			used.CPU, used.Memory = used.CPU+u.CPU, used.Memory+u.Memory
			all.CPU, all.Memory = all.CPU+m.capacity.CPU, all.Memory+m.capacity.Memory
		}
		m.mu.Unlock()
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory
}

// close ends all processes.
func (r *rig) close() {
	r.closed.Store(true)
	for _, n := range r.nodes {
		n.end()
	}
	_ = os.RemoveAll(r.tmp)
}

// result returns the exit status: 1 if a rule was broken, 0 if not.
func (r *rig) result() int {
	r.mu.Lock()
	violations := append([]string{}, r.violations...)
	r.mu.Unlock()
	r.note("%d starts; %d bytes written to the store; %d appends refused by size %s", r.starts, r.store.bytesWritten, r.store.refusedBySize, r.store.lastRefusal)
	counts := map[string]int{}
	for _, v := range violations {
		rule, _, _ := strings.Cut(v, ":")
		counts[rule]++
	}
	r.note("rules broken: %v", counts)
	if len(violations) > 0 {
		fmt.Println("broken:", counts, "first:", violations[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

var errNotReady = errors.New("the nodes were not ready in time")
