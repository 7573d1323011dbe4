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

// brokenEntry is a fake entry with minions behind it that breaks one promise.
type brokenEntry struct {
	fault string

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (b *brokenEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderRequest)
	size, _ := strconv.Atoi(r.FormValue("size"))
	b.mu.Lock()
	joined := r.Header.Get("Idempotency-Key") != "" && b.runs[id] > 0
	if b.fault != "never ran" && (!joined || b.fault == "key ignored") {
		b.runs[id]++
	}
	if b.fault == "ran twice" && r.Method == http.MethodPost {
		b.runs[id]++
	}
	b.mu.Unlock()
	w.Header().Set(caller.HeaderResult, "answered")
	switch b.fault {
	case "refused but ran":
		w.Header().Set(caller.HeaderResult, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "unknown":
		w.Header().Set(caller.HeaderResult, "unknown")
		return
	case "mixed up":
		id = "another"
	case "cut short":
		size /= 2
	case "cut connection":
		w.Header().Set("Content-Length", strconv.Itoa(size+1000))
	}
	_, _ = io.Copy(w, standin.Content(id, size))
}

// Guards against a demo that passes whatever the system does: the load and the checks together must notice each fault.
func TestLoadNoticesBrokenEntries(t *testing.T) {
	scenarios := []struct{ fault, fails string }{
		{"", ""},
		{"ran twice", "non-idempotent requests run twice"},
		{"key ignored", "non-idempotent requests run twice"},
		{"refused but ran", "refused requests that ran anyway"},
		{"unknown", "unknown without a cause"},
		{"never ran", "answered requests that never ran"},
		{"mixed up", "wrong or truncated answers"},
		{"cut short", "wrong or truncated answers"},
		{"cut connection", "unknown without a cause"},
	}
	for _, s := range scenarios {
		t.Run(s.fault, func(t *testing.T) {
			fake := &brokenEntry{fault: s.fault, runs: map[string]int{}}
			server := httptest.NewServer(fake)
			defer server.Close()
			l := newLoad("reservations", newBalancer([]target{{"own-1", server.URL}, {"own-2", server.URL}}))
			for kind := range 20 {
				l.sendOne("r-"+strconv.Itoa(kind), kind)
			}
			facts := goodFacts()
			facts.Requests, facts.RequestRuns = l.seen(), fake.runs
			if s.fails == "" {
				require.Empty(t, failures(facts))
				return
			}
			require.Contains(t, failures(facts), s.fails)
		})
	}
}

// Guards against unknown results that are excused without a reason, and against a check that blames a killed entry for
// the requests that it had.
func TestExcusedResults(t *testing.T) {
	scenarios := []struct {
		name   string
		killed string
		seen   observed
		want   bool
	}{
		{"no kill", "", observed{entry: "own-3", broken: true}, false},
		{"no kill, home lost", "", observed{entry: "own-1", reason: "key-home-lost"}, false},
		{"connection to the killed entry broke", "own-3", observed{entry: "own-3", broken: true}, true},
		{"the killed entry still said that it does not know", "own-3", observed{entry: "own-3", reason: "caller-gone"}, true},
		{"home lost", "own-3", observed{entry: "own-1", reason: "key-home-lost"}, true},
		{"connection to another entry broke", "own-3", observed{entry: "own-1", broken: true}, false},
		{"another entry gave up", "own-3", observed{entry: "own-1", reason: "timeout"}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := newLoad("reservations", newBalancer([]target{{"own-1", ""}}))
			if s.killed != "" {
				l.noteKill(oleanderline.VMID(s.killed))
			}
			l.record(exchange{id: "r-1", method: http.MethodPost}, s.seen)
			require.Equal(t, s.want, l.seen()[0].Excused)
		})
	}
}
