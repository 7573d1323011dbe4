package standin

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Headers between entries and minions.
const (
	HeaderNotRun  = "Oleander-Not-Run" // "1" in an answer: the request was refused before running
	HeaderRequest = "Oleander-Request" // id of a request, set by the caller
	HeaderLeaving = "Oleander-Leaving" // "1" in an answer: the minion takes no new requests
)

// Default bounds of a minion.
const (
	defaultSlots = 8
	defaultConns = 64
)

// Latency draws the run time of one request.
type Latency func(*rand.Rand) time.Duration

// Minion is a stand-in for one back end of a service. It answers GET /healthz without taking a slot. For every other
// request it sleeps for the run time and answers with Content of the request's id. The query may set size (bytes of the
// answer) and work (run time as a duration).
type Minion struct {
	id      oleanderline.MinionID
	clock   oleanderline.Clock
	latency Latency
	slots   int
	conns   int

	mu       sync.Mutex
	random   *rand.Rand
	busy     int
	peak     int
	runs     map[string]int
	refused  int
	leaving  bool
	aborting bool
	address  string
	server   *http.Server
	listener *Listener
}

// MinionOption changes a Minion while it is built.
type MinionOption func(*Minion)

// WithLatency sets the run times; the default is no time at all.
func WithLatency(latency Latency) MinionOption { return func(m *Minion) { m.latency = latency } }

// WithSlots sets the number of requests that run at the same time; the default is 8.
func WithSlots(slots int) MinionOption { return func(m *Minion) { m.slots = slots } }

// WithConns sets the number of open connections; the default is 64.
func WithConns(conns int) MinionOption { return func(m *Minion) { m.conns = conns } }

// NewMinion returns a minion that does not listen yet.
func NewMinion(id oleanderline.MinionID, clock oleanderline.Clock, random *rand.Rand, options ...MinionOption) *Minion {
	m := &Minion{
		id: id, clock: clock, random: random, slots: defaultSlots, conns: defaultConns, runs: map[string]int{},
		latency: func(*rand.Rand) time.Duration { return 0 },
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Listen serves on address. After a crash it may be called again; an empty address stands for the one before.
func (m *Minion) Listen(address string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" {
		address = m.address
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("minion %s: %w", m.id, err)
	}
	m.address = inner.Addr().String()
	m.listener = NewListener(inner, m.conns)
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server, listener *Listener) { _ = server.Serve(listener) }(m.server, m.listener)
	return nil
}

// Crash closes the listener and all connections at once. Requests in work may have run.
func (m *Minion) Crash() {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Silence makes all open connections silent, and returns their number. New ones work.
func (m *Minion) Silence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Silence()
}

// SetLeaving makes the minion refuse all new requests, or ends that.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// SetAborting makes the minion read each request, run it and close the connection without an answer, or ends that.
func (m *Minion) SetAborting(aborting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aborting = aborting
}

// ID returns the minion's id.
func (m *Minion) ID() oleanderline.MinionID { return m.id }

// Address returns the host and port at which the minion listens or has listened.
func (m *Minion) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// Runs returns how often each request id has run.
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.runs)
}

// Refused returns the number of requests refused before running.
func (m *Minion) Refused() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// PeakBusy returns the highest number of slots in use at the same time.
func (m *Minion) PeakBusy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// PeakConns returns the highest number of connections open at the same time.
func (m *Minion) PeakConns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Peak()
}

// RefusedConns returns the number of connections above the limit since the minion last began to listen.
func (m *Minion) RefusedConns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Refused()
}

// ServeHTTP implements http.Handler.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		m.health(w)
		return
	}
	id := r.Header.Get(HeaderRequest)
	// The body is read before a slot is taken, so that a slow sender cannot hold one and every run is of a whole request.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	length, ok := m.admit(w, id)
	if !ok {
		return
	}
	defer m.release()
	if work, err := time.ParseDuration(r.FormValue("work")); err == nil {
		length = work
	}
	m.sleep(length)
	m.mu.Lock()
	aborting := m.aborting
	m.mu.Unlock()
	if aborting {
		panic(http.ErrAbortHandler)
	}
	size, _ := strconv.Atoi(r.FormValue("size"))
	w.Header().Set("Oleander-Minion", string(m.id))
	w.Header().Set(HeaderRequest, id)
	_, _ = io.Copy(w, Content(id, size))
}

func (m *Minion) health(w http.ResponseWriter) {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		w.Header().Set(HeaderLeaving, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// admit takes a slot and counts the run, or refuses the request.
func (m *Minion) admit(w http.ResponseWriter, id string) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || m.busy >= m.slots {
		m.refused++
		w.Header().Set(HeaderNotRun, "1")
		if m.leaving {
			w.Header().Set(HeaderLeaving, "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return 0, false
	}
	m.busy++
	m.peak = max(m.peak, m.busy)
	if id != "" {
		m.runs[id]++
	}
	return m.latency(m.random), true
}

func (m *Minion) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy--
}

func (m *Minion) sleep(d time.Duration) {
	if d > 0 {
		<-m.clock.NewTimer(d).C()
	}
}
