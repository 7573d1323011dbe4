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
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// countingMinion is a minion that counts the runs of each path and can block them.
type countingMinion struct {
	mu   sync.Mutex
	runs map[string]int
	gate chan struct{} // runs wait until it is closed; nil if they do not wait
}

func (m *countingMinion) serve(w http.ResponseWriter, r *http.Request) {
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

func (m *countingMinion) count(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[path]
}

func withKey(key string) requestOption { return withHeader("Idempotency-Key", key) }

// Guards against a second run of a request if a duplicate arrives while the first is running, at the same or at another
// entry.
func TestDuplicatesWaitForFirstAttempt(t *testing.T) {
	const copies = 6
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("keys disabled %t", disabled), func(t *testing.T) {
			m := &countingMinion{runs: map[string]int{}, gate: make(chan struct{})}
			c := newCluster(t, func(cfg *config) { cfg.disabled.keyJoin = disabled })
			c.addMinion("m-1", m.serve)
			c.addMinion("m-2", m.serve)
			entries := c.addEntries("own-1", "own-2")
			results := make(chan result, copies)
			for i := range copies {
				go func() { results <- send(entries[i%2], http.MethodPost, "/x", "body", withKey("k")) }()
			}
			if disabled {
				require.Eventually(t, func() bool { return m.count("/x") == copies }, waitTimeout, pollInterval)
				close(m.gate)
				return
			}
			require.Eventually(t, func() bool { return waitingRequests(entries) == copies-1 }, waitTimeout, pollInterval)
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

// waitingRequests returns the number of requests that wait for another attempt with their key.
func waitingRequests(entries []*Daemon) int {
	sum := 0
	for _, d := range entries {
		sum += int(d.keyed.waiting.Load())
	}
	return sum
}

// Guards against a second run of a request after the entry that decided about its key has failed, and against a refusal
// although a backup has the result.
func TestKeyWhoseHomeIsLost(t *testing.T) {
	crash := func(_ *cluster, home, _ *Daemon) { home.Kill() }
	scenarios := []struct {
		name        string
		otherSender int // if not 0, the first request goes to the third entry instead of the home
		stopEntries func(c *cluster, home, backup *Daemon)
		disabled    disabledMechanisms
		newKey      bool // the request after the failure has a new key
		status      int
		result      oleanderline.Result
		reason      string
		runs        int // 1 if zero
	}{
		{name: "home and sender fail", stopEntries: crash, status: 200, result: oleanderline.ResultAnswered},
		{
			name: "home and sender fail, backup disabled", stopEntries: crash, disabled: disabledMechanisms{keyBackup: true},
			status: 409, reason: "key-home-lost",
		},
		{
			name: "home and sender fail, backup and check disabled", stopEntries: crash, disabled: disabledMechanisms{keyBackup: true, lossCheck: true},
			status: 200, result: oleanderline.ResultAnswered, runs: 2,
		},
		{name: "home fails, sender has a copy", otherSender: 1, stopEntries: crash, status: 200, result: oleanderline.ResultAnswered},
		{
			name: "home is replaced under its id", status: 200, result: oleanderline.ResultAnswered,
			stopEntries: func(c *cluster, home, _ *Daemon) {
				home.Kill()
				waitReady(c.tb, c.addEntry(home.settings.ID))
			},
		},
		{
			name: "home makes a planned stop", status: 200, result: oleanderline.ResultAnswered,
			stopEntries: func(c *cluster, home, _ *Daemon) { require.NoError(c.tb, home.Stop(c.tb.Context())) },
		},
		{
			name: "backup makes a planned stop, then the home fails", status: 200, result: oleanderline.ResultAnswered,
			stopEntries: func(c *cluster, home, backup *Daemon) {
				require.NoError(c.tb, backup.Stop(c.tb.Context()))
				home.Kill()
			},
		},
		{name: "home fails, new key", stopEntries: crash, newKey: true, status: 200, result: oleanderline.ResultAnswered, runs: 2},
		{
			name: "home fails, new key, backup disabled", stopEntries: crash, newKey: true, disabled: disabledMechanisms{keyBackup: true},
			status: 409, reason: "key-home-lost",
		},
		{
			name: "home and backup fail", status: 409, reason: "key-home-lost",
			stopEntries: func(_ *cluster, home, backup *Daemon) {
				home.Kill()
				backup.Kill()
			},
		},
		{
			name: "home and backup are replaced under their ids", status: 409, reason: "key-home-lost",
			stopEntries: func(c *cluster, home, backup *Daemon) {
				home.Kill()
				backup.Kill()
				waitReady(c.tb, c.addEntry(home.settings.ID), c.addEntry(backup.settings.ID))
			},
		},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := &countingMinion{runs: map[string]int{}}
			c := newCluster(t, func(cfg *config) { cfg.disabled = s.disabled })
			c.addMinion("m-1", m.serve)
			entries := c.addEntries("own-1", "own-2", "own-3", "own-4", "own-5")
			keys := keysWithHolders(entries[0], entries[1], 2)
			sender := entries[0]
			if s.otherSender > 0 {
				sender = entries[2]
			}
			requireOutcome(t, sendUntilDecided(sender, keys[0]), http.StatusOK, oleanderline.ResultAnswered, "")
			holders := []*Daemon{entries[0], entries[1]}
			if s.disabled.keyBackup {
				holders = holders[:1]
			}
			for _, d := range holders {
				require.Eventually(t, func() bool { return answerStored(d, keys[0]) }, waitTimeout, pollInterval)
			}
			s.stopEntries(c, entries[0], entries[1])
			key := keys[0]
			if s.newKey {
				key = keys[1]
			}
			requireOutcome(t, sendUntilDecided(entries[4], key), s.status, s.result, s.reason)
			require.Equal(t, max(s.runs, 1), m.count("/x"))
		})
	}
}

// Guards against a second run of a request: a home that was paused and still has its old view must not permit a request
// that the new home has permitted meanwhile.
func TestPausedHomeCannotPermit(t *testing.T) {
	m := &countingMinion{runs: map[string]int{}}
	c := newCluster(t)
	c.addMinion("m-1", m.serve)
	entries := c.addEntries("own-1", "own-2", "own-3")
	home, backup := entries[0], entries[1]
	key := keysWithHolders(home, backup, 1)[0]
	args := JoinArgs{
		Key: testService + "\x00" + key, Executor: home.keys.self, Token: 1, For: time.Minute,
		Consent: true, Backup: true, From: home.keys.self, To: backup.keys.self.Incarnation,
	}
	late := args
	late.Key += " of another request"
	stored, _ := backup.keys.handleConsent(args, time.Now())
	require.Equal(t, joinRun, joinVerdict(stored.Verdict), "the backup consents to a home that is alive")
	backup.keys.settle(SettleArgs{Record: idempotency.Record{Key: args.Key, Executor: args.Executor, Token: args.Token}, Release: true})
	other := args
	other.To++
	refused, _ := backup.keys.handleConsent(other, time.Now())
	require.Equal(t, joinUnavailable, joinVerdict(refused.Verdict), "the message is for another incarnation")
	plan := home.members.keyPlan(args.Key, time.Now())
	home.Kill() // its view no longer changes
	requireOutcome(t, sendUntilDecided(entries[2], key), http.StatusOK, oleanderline.ResultAnswered, "")
	for _, a := range []JoinArgs{args, late} {
		refused, _ = backup.keys.handleConsent(a, time.Now())
		require.Equal(t, joinUnavailable, joinVerdict(refused.Verdict), "the backup considers the home failed")
	}
	reply, _ := home.keys.decideNewKey(t.Context(), args, plan)
	require.Equal(t, joinUnavailable, joinVerdict(reply.Verdict))
	require.Equal(t, 1, m.count("/x"))
}

// keysWithHolders returns n keys that have this home and backup in the home's view.
func keysWithHolders(home, backup *Daemon, n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("key-%d", i)
		plan := home.members.keyPlan(testService+"\x00"+key, time.Now())
		if plan.home == home.keys.self.ID && plan.backup == backup.keys.self.ID {
			keys = append(keys, key)
		}
	}
	return keys
}

func answerStored(d *Daemon, key string) bool {
	held := d.keys.lookup(testService + "\x00" + key)
	return held.Found && held.Record.Answer != nil
}

// sendUntilDecided sends a request with a key, and repeats it while no home can decide.
func sendUntilDecided(d *Daemon, key string) result {
	for range 20 {
		r := send(d, http.MethodPost, "/x", "", withKey(key))
		if r.header.Get("Oleander-Reason") != "keys-unavailable" {
			return r
		}
	}
	return result{err: errors.New("no home could decide about the key after 20 requests")}
}

// Guards against a key that stays blocked after an attempt that did not run, and against stored answers that are too
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
