package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// counter is a minion that counts the runs of each path and can hold them.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
	gate chan struct{} // nil: open
}

func (m *counter) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	m.mu.Lock()
	m.runs[r.URL.Path]++
	run, gate := m.runs[r.URL.Path], m.gate
	m.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
		}
	}
	_, _ = fmt.Fprintf(w, "run %d of %s", run, r.URL.Path)
}

func (m *counter) count(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[path]
}

func withKey(key string) requestOption { return withHeader("Idempotency-Key", key) }

// Guards against a second run of a request whose duplicate arrives while the first runs, at the same or another entry.
func TestDuplicatesJoinTheFirst(t *testing.T) {
	const copies = 6
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("switched off %t", off), func(t *testing.T) {
			m := &counter{runs: map[string]int{}, gate: make(chan struct{})}
			c := newCluster(t, func(p *parts) { p.switches.noJoin = off })
			c.addMinion("m-1", m.serve)
			c.addMinion("m-2", m.serve)
			entries := c.addEntries("own-1", "own-2")
			results := make(chan result, copies)
			for i := range copies {
				go func() { results <- send(entries[i%2], http.MethodPost, "/x", "body", withKey("k")) }()
			}
			if off {
				require.Eventually(t, func() bool { return m.count("/x") == copies }, waitLimit, waitStep)
				close(m.gate)
				return
			}
			require.Eventually(t, func() bool { return waiting(entries) == copies-1 }, waitLimit, waitStep)
			close(m.gate)
			for range copies {
				r := <-results
				requireOutcome(t, r, http.StatusOK, oleanderline.ResultAnswered, "")
				require.Equal(t, "run 1 of /x", r.body)
			}
			require.Equal(t, 1, m.count("/x"))
			other := send(entries[0], http.MethodPost, "/x", "other body", withKey("k"))
			requireOutcome(t, other, http.StatusUnprocessableEntity, oleanderline.ResultNotRun, "key-reused")
		})
	}
}

// waiting counts the requests that have asked for a key and wait for another attempt.
func waiting(entries []*Daemon) int {
	sum := 0
	for _, d := range entries {
		sum += int(d.keyed.waiting.Load())
	}
	return sum
}

// Guards against a second run after the loss of the entry that kept the key.
func TestKeyWhoseHomeIsLost(t *testing.T) {
	crash := func(_ *cluster, home *Daemon) { home.Kill() }
	scenarios := []struct {
		name    string
		through int // the entry that gets the first request: 0 is the home
		lose    func(c *cluster, home *Daemon)
		off     bool
		status  int
		result  oleanderline.Result
		reason  string
	}{
		{name: "home and sender die", lose: crash, status: 409, reason: "key-home-lost"},
		{name: "home and sender die, check off", lose: crash, off: true, status: 200, result: oleanderline.ResultAnswered},
		{name: "home dies, sender has a copy", through: 1, lose: crash, status: 200, result: oleanderline.ResultAnswered},
		{
			name: "home is replaced under its name", status: 409, reason: "key-home-lost",
			lose: func(c *cluster, home *Daemon) {
				home.Kill()
				waitReady(c.tb, c.addEntry(home.settings.ID))
			},
		},
		{
			name: "home stops as planned", status: 200, result: oleanderline.ResultAnswered,
			lose: func(c *cluster, home *Daemon) { require.NoError(c.tb, home.Stop(c.tb.Context())) },
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := &counter{runs: map[string]int{}}
			c := newCluster(t, func(p *parts) { p.switches.noLossCheck = s.off })
			c.addMinion("m-1", m.serve)
			entries := c.addEntries("own-1", "own-2", "own-3")
			key := keyOf(entries[0])
			first := send(entries[s.through], http.MethodPost, "/x", "", withKey(key))
			requireOutcome(t, first, http.StatusOK, oleanderline.ResultAnswered, "")
			require.Eventually(t, func() bool { return settled(entries[0], key) }, waitLimit, waitStep)
			s.lose(c, entries[0])
			retry := sendUntilDecided(entries[2], key)
			requireOutcome(t, retry, s.status, s.result, s.reason)
			runs := 1
			if s.off {
				runs = 2
			}
			require.Equal(t, runs, m.count("/x"))
		})
	}
}

// keyOf returns a key whose home is the entry.
func keyOf(d *Daemon) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("key-%d", i)
		if d.members.plan(testService+"\x00"+key, time.Now()).home == d.home.self.ID {
			return key
		}
	}
}

func settled(d *Daemon, key string) bool {
	held := d.home.held(testService + "\x00" + key)
	return held.Found && held.Record.Answer != nil
}

// sendUntilDecided repeats a request that was refused because no home could decide yet.
func sendUntilDecided(d *Daemon, key string) result {
	for range 20 {
		r := send(d, http.MethodPost, "/x", "", withKey(key))
		if r.header.Get("Oleander-Reason") != "keys-unavailable" {
			return r
		}
	}
	return result{err: errors.New("no home decides")}
}

// Guards against a request that stays blocked by a first attempt that did not run, and against kept answers that are too
// large or never end.
func TestKeyAfterTheFirstAttempt(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	c := newCluster(t)
	c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
		switch {
		case refuse.Load():
			w.Header().Set("Oleander-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Path == "/large":
			_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
		}
	})
	d := c.addEntries("own-1")[0]
	r := send(d, http.MethodPost, "/x", "", withKey("k"))
	requireOutcome(t, r, http.StatusServiceUnavailable, oleanderline.ResultNotRun, r.header.Get("Oleander-Reason"))
	require.NotEmpty(t, r.header.Get("Retry-After"))
	refuse.Store(false)
	requireOutcome(t, send(d, http.MethodPost, "/x", "", withKey("k")), http.StatusOK, oleanderline.ResultAnswered, "")
	large := send(d, http.MethodPost, "/large", "", withKey("l"))
	requireOutcome(t, large, http.StatusOK, oleanderline.ResultAnswered, "")
	require.Len(t, large.body, 100<<10)
	again := send(d, http.MethodPost, "/large", "", withKey("l"))
	requireOutcome(t, again, http.StatusConflict, oleanderline.ResultUnknown, "key-answer-not-kept")
}
