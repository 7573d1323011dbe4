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
	HeaderNotRun  = "Oleander-Not-Run" // "1" in a response: the request was refused before running
	HeaderRequest = "Oleander-Request" // id of the request, set by the caller
	HeaderLeaving = "Oleander-Leaving" // "1" in a response: the minion drains and refuses new requests
)

// Default limits of a minion.
const (
	defaultSlots = 8
	defaultConns = 64
)

// Latency returns a random run time for one request.
type Latency func(*rand.Rand) time.Duration

// Minion is a stand-in for one back end of a service. It answers GET /healthz without taking a slot. For every other
// request it takes a slot, sleeps for the run time and answers with Content for the request's id. The query parameters
// size (bytes of the answer) and work (run time as a duration) are optional.
type Minion struct {
	id       oleanderline.MinionID
	clock    oleanderline.Clock
	latency  Latency
	slots    int
	maxConns int

	mu       sync.Mutex
	random   *rand.Rand
	busy     int
	peakBusy int
	runs     map[string]int
	refused  int
	leaving  bool
	aborting bool
	address  string
	server   *http.Server
	listener *Listener
}

// MinionOption configures a Minion.
type MinionOption func(*Minion)

// WithLatency sets the distribution of run times. By default requests take no time.
func WithLatency(latency Latency) MinionOption { return func(m *Minion) { m.latency = latency } }

// WithSlots sets the maximum number of requests that run at the same time; the default is 8.
func WithSlots(slots int) MinionOption { return func(m *Minion) { m.slots = slots } }

// WithConns sets the maximum number of open connections; the default is 64.
func WithConns(conns int) MinionOption { return func(m *Minion) { m.maxConns = conns } }

// NewMinion returns a minion that does not listen yet.
func NewMinion(id oleanderline.MinionID, clock oleanderline.Clock, random *rand.Rand, options ...MinionOption) *Minion {
	m := &Minion{
		id: id, clock: clock, random: random, slots: defaultSlots, maxConns: defaultConns, runs: map[string]int{},
		latency: func(*rand.Rand) time.Duration { return 0 },
	}
	for _, option := range options {
		option(m)
	}
	return m
}

// Listen starts serving on address. It may be called again after Crash; an empty address means the previous one.
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
	m.listener = NewListener(inner, m.maxConns)
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server, listener *Listener) { _ = server.Serve(listener) }(m.server, m.listener)
	return nil
}

// Crash closes the listener and all connections immediately. Requests in flight may have run.
func (m *Minion) Crash() {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Silence silences all open connections, see Listener.Silence, and returns their number.
func (m *Minion) Silence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Silence()
}

// SetLeaving sets whether the minion refuses all new requests because it drains.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// SetAborting sets whether the minion runs each request and then closes the connection without an answer.
func (m *Minion) SetAborting(aborting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.aborting = aborting
}

// ID returns the minion's id.
func (m *Minion) ID() oleanderline.MinionID { return m.id }

// Address returns the host and port on which the minion listens, or last listened.
func (m *Minion) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// Runs returns the number of runs by request id.
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.runs)
}

// Refused returns the number of requests that were refused before running.
func (m *Minion) Refused() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// PeakBusy returns the maximum number of slots in use at the same time.
func (m *Minion) PeakBusy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakBusy
}

// PeakConns returns the maximum number of connections open at the same time since the last call of Listen.
func (m *Minion) PeakConns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Peak()
}

// RefusedConns returns the number of connections over the limit since the last call of Listen.
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
	// The body is read before a slot is taken, so that a slow sender does not occupy a slot and only complete requests run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	runTime, ok := m.admit(w, id)
	if !ok {
		return
	}
	defer m.release()
	if work, err := time.ParseDuration(r.FormValue("work")); err == nil {
		runTime = work
	}
	m.sleep(runTime)
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

// admit takes a slot, counts the run and returns its run time, or refuses the request.
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
	m.peakBusy = max(m.peakBusy, m.busy)
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
