package entry

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline/pkg/standin"
)

// schedulesPerCheck gives 1,000 schedules for the 100 checks that CI runs.
const schedulesPerCheck = 10

// faultyMinion is a minion that injects faults. Whether an exchange has a fault, and which, is drawn from the seed, the
// request's id and the number of the exchange for this id.
type faultyMinion struct {
	seed  atomic.Uint64
	rate  atomic.Int64 // percentage of exchanges with a fault
	mu    sync.Mutex
	seen  map[string]int
	runs  map[string]int
	bytes int
}

func (m *faultyMinion) drawFault(id string) (fault int, random *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen[id]++
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id, m.seen[id])
	random = rand.New(rand.NewPCG(m.seed.Load(), h.Sum64()))
	if random.Int64N(100) >= m.rate.Load() {
		return 0, random
	}
	return 1 + random.IntN(8), random
}

func (m *faultyMinion) recordRun(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
}

func (m *faultyMinion) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		return
	}
	id := r.Header.Get("Oleander-Request")
	fault, random := m.drawFault(id)
	if fault == 1 {
		panic(http.ErrAbortHandler) // closes the connection before the body is read
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch fault {
	case 2, 3:
		w.Header().Set("Oleander-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case 4:
		<-r.Context().Done() // sends no answer and does not run
		return
	}
	m.recordRun(id)
	switch fault {
	case 5:
		panic(http.ErrAbortHandler) // ran, and closes the connection without an answer
	case 6:
		<-r.Context().Done() // ran, and sends no answer
		return
	case 7:
		w.Header().Set("Content-Length", fmt.Sprint(m.bytes))
		_, _ = io.CopyN(w, standin.Content(id, m.bytes), random.Int64N(int64(m.bytes)))
		panic(http.ErrAbortHandler)
	case 8:
		_, _ = io.CopyN(w, standin.Content(id, m.bytes), random.Int64N(int64(m.bytes)))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, standin.Content(id, m.bytes))
}

// Guards against a non-idempotent request that runs twice, an answer that is truncated, corrupted or belongs to another
// request, and a result "not run" for a request that ran, with random faults of the minions.
func TestNoFaultBreaksTheOutcomes(t *testing.T) {
	m := &faultyMinion{seen: map[string]int{}, runs: map[string]int{}, bytes: 3000}
	c := newCluster(t)
	for i := range 4 {
		c.addMinion(fmt.Sprintf("m-%d", i), m.serve)
	}
	entries := c.addEntries("own-1", "own-2", "own-3")
	var schedules, answered, notRun, unknown, broken atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m.rate.Store(rapid.Int64Range(0, 60).Draw(t, "faults in a hundred"))
		m.seed.Store(seed)
		var all sync.WaitGroup
		outcomes := make(chan copyOutcome, 200)
		for s := range schedulesPerCheck {
			n := schedules.Add(1)
			random := rand.New(rand.NewPCG(seed, uint64(s)))
			for i := range 2 + random.IntN(4) {
				id := fmt.Sprintf("%d-%d", n, i)
				copies := 1
				if random.IntN(3) == 0 {
					copies = 2
				}
				method := []string{http.MethodPost, http.MethodPost, http.MethodPatch, http.MethodGet}[random.IntN(4)]
				for range copies {
					d := entries[random.IntN(len(entries))]
					all.Go(func() {
						options := []requestOption{withHeader("Oleander-Request", id), withHeader("Oleander-Timeout", "60ms")}
						if copies > 1 {
							options = append(options, withKey(id))
						}
						r := send(d, method, "/", strings.Repeat("b", 10), options...)
						outcomes <- copyOutcome{id: id, method: method, copies: copies, result: r}
						countOutcome(r, &answered, &notRun, &unknown, &broken)
					})
				}
			}
		}
		all.Wait()
		close(outcomes)
		byID := map[string][]copyOutcome{}
		for o := range outcomes {
			byID[o.id] = append(byID[o.id], o)
		}
		for _, copies := range byID {
			if fault := m.check(copies); fault != "" {
				t.Errorf("%s: %+v", fault, copies)
			}
		}
	})
	t.Logf("%d schedules: %d answered, %d not run, %d unknown, %d with broken connections", schedules.Load(), answered.Load(), notRun.Load(), unknown.Load(), broken.Load())
	require.Positive(t, answered.Load())
	require.Positive(t, notRun.Load())
	require.Positive(t, unknown.Load())
	require.Positive(t, broken.Load())
}

// copyOutcome is the result that the sender of one copy of a request got.
type copyOutcome struct {
	id, method string
	copies     int
	result     result
}

// check returns a description of the first violation in the outcomes of the copies of one request, or "".
func (m *faultyMinion) check(copies []copyOutcome) string {
	m.mu.Lock()
	runs := m.runs[copies[0].id]
	m.mu.Unlock()
	idempotent := copies[0].method == http.MethodGet
	if !idempotent && runs > 1 {
		return fmt.Sprintf("ran %d times", runs)
	}
	want, _ := io.ReadAll(standin.Content(copies[0].id, m.bytes))
	refused := 0
	for _, c := range copies {
		switch outcome := c.result.header.Get("Oleander-Result"); {
		case c.result.err != nil: // the caller got an error from a closed connection
		case outcome == "answered" && (runs == 0 || c.result.body != string(want)):
			return fmt.Sprintf("answered with %d bytes after %d runs", len(c.result.body), runs)
		case outcome == "not-run" && runs > 0 && strings.HasPrefix(c.result.header.Get("Oleander-Reason"), "key"):
			return "refused as not run because of its key, but ran"
		case outcome == "not-run":
			refused++
		case outcome == "":
			return "no Oleander-Result header"
		}
	}
	// One copy may get the permission first and then be refused because the retry budget is exhausted. That releases the
	// key, so that the other copy may run. If every copy is refused, none may have run.
	if !idempotent && refused == len(copies) && runs > 0 {
		return "ran, but all copies were refused as not run"
	}
	return ""
}

func countOutcome(r result, answered, notRun, unknown, broken *atomic.Int64) {
	switch outcome := r.header.Get("Oleander-Result"); {
	case r.err != nil:
		broken.Add(1)
	case outcome == "answered":
		answered.Add(1)
	case outcome == "not-run":
		notRun.Add(1)
	case outcome == "unknown":
		unknown.Add(1)
	}
}
