package demo

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/caller"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// faultyEntry fakes an entry with its minions and has one fault.
type faultyEntry struct {
	fault string

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (e *faultyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequest)
	size, _ := strconv.Atoi(r.FormValue("size"))
	e.mu.Lock()
	joined := r.Header.Get("Idempotency-Key") != "" && e.runs[id] > 0
	if e.fault != "never ran" && (!joined || e.fault == "key ignored") {
		e.runs[id]++
	}
	if e.fault == "ran twice" && r.Method == http.MethodPost {
		e.runs[id]++
	}
	e.mu.Unlock()
	w.Header().Set(caller.HeaderResult, "answered")
	switch e.fault {
	case "refused but ran":
		w.Header().Set(caller.HeaderResult, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "unknown":
		w.Header().Set(caller.HeaderResult, "unknown")
		return
	case "wrong content":
		id = "another"
	case "truncated body":
		size /= 2
	case "connection closed early":
		w.Header().Set("Content-Length", strconv.Itoa(size+1000))
	}
	_, _ = io.Copy(w, standin.Content(id, size))
}

// Guards against a demo that always passes: the load generator and the checks together must detect each fault of an entry.
func TestLoadDetectsFaultyEntries(t *testing.T) {
	scenarios := []struct{ fault, fails string }{
		{"", ""},
		{"ran twice", "non-idempotent requests run twice"},
		{"key ignored", "non-idempotent requests run twice"},
		{"refused but ran", "refused requests that ran anyway"},
		{"unknown", "unknown results not caused by the kill"},
		{"never ran", "answered requests that never ran"},
		{"wrong content", "wrong or truncated answers"},
		{"truncated body", "wrong or truncated answers"},
		{"connection closed early", "unknown results not caused by the kill"},
	}
	for _, s := range scenarios {
		t.Run(s.fault, func(t *testing.T) {
			fake := &faultyEntry{fault: s.fault, runs: map[string]int{}}
			server := httptest.NewServer(fake)
			defer server.Close()
			l := newLoadGenerator("reservations", newBalancer([]target{{"own-1", server.URL}, {"own-2", server.URL}}))
			for kind := range 20 {
				l.sendOne("r-"+strconv.Itoa(kind), kind)
			}
			facts := passingFacts()
			facts.Requests, facts.RequestRuns = l.recorded(), fake.runs
			if s.fails == "" {
				require.Empty(t, failedChecks(facts))
				return
			}
			require.Contains(t, failedChecks(facts), s.fails)
		})
	}
}

// Guards against unknown results that are wrongly attributed to the killed VM, and against a check that fails because of
// requests that the killed entry was handling.
func TestExplainedResults(t *testing.T) {
	scenarios := []struct {
		name   string
		killed string
		got    outcome
		want   bool
	}{
		{"no kill", "", outcome{entry: "own-3", broken: true}, false},
		{"no kill, home lost", "", outcome{entry: "own-1", reason: "key-home-lost"}, false},
		{"connection to the killed entry failed", "own-3", outcome{entry: "own-3", broken: true}, true},
		{"the killed entry answered that the result is unknown", "own-3", outcome{entry: "own-3", reason: "caller-gone"}, true},
		{"home lost", "own-3", outcome{entry: "own-1", reason: "key-home-lost"}, true},
		{"connection to another entry failed", "own-3", outcome{entry: "own-1", broken: true}, false},
		{"another entry timed out", "own-3", outcome{entry: "own-1", reason: "timeout"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := newLoadGenerator("reservations", newBalancer([]target{{"own-1", ""}}))
			if s.killed != "" {
				l.recordKill(oleanderline.VMID(s.killed))
			}
			l.record(requestSpec{id: "r-1", method: http.MethodPost}, s.got)
			require.Equal(t, s.want, l.recorded()[0].Explained)
		})
	}
}
