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

// schedulesPerCheck makes 1,000 schedules of CI's 100 checks.
const schedulesPerCheck = 10

// faulty is a minion that carries out a fault for each exchange, drawn from the seed, the request's id and the number of
// the exchange.
type faulty struct {
	seed  atomic.Uint64
	rate  atomic.Int64 // faults in a hundred exchanges
	mu    sync.Mutex
	seen  map[string]int
	runs  map[string]int
	bytes int
}

func (m *faulty) draw(id string) (fault int, random *rand.Rand) {
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

func (m *faulty) run(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
}

func (m *faulty) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		return
	}
	id := r.Header.Get("Oleander-Request")
	fault, random := m.draw(id)
	if fault == 1 {
		panic(http.ErrAbortHandler) // the connection ends before the body is read
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
		<-r.Context().Done() // silent, without running
		return
	}
	m.run(id)
	switch fault {
	case 5:
		panic(http.ErrAbortHandler) // it ran, and no byte of the answer is sent
	case 6:
		<-r.Context().Done() // it ran, and is silent
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

// Guards against a non-idempotent request that runs twice, an answer that is cut, mixed up or belongs to another request,
// and a refusal as "not run" of a request that ran, whatever the minions do.
func TestNoFaultBreaksTheOutcomes(t *testing.T) {
	m := &faulty{seen: map[string]int{}, runs: map[string]int{}, bytes: 3000}
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
						count(r, &answered, &notRun, &unknown, &broken)
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
	t.Logf("%d schedules: %d answered, %d not run, %d unknown, %d broken off", schedules.Load(), answered.Load(), notRun.Load(), unknown.Load(), broken.Load())
	require.Positive(t, answered.Load())
	require.Positive(t, notRun.Load())
	require.Positive(t, unknown.Load())
	require.Positive(t, broken.Load())
}

// copyOutcome is what the sender of one copy of a request saw.
type copyOutcome struct {
	id, method string
	copies     int
	result     result
}

// check returns what is wrong with the outcomes of the copies of one request.
func (m *faulty) check(copies []copyOutcome) string {
	m.mu.Lock()
	runs := m.runs[copies[0].id]
	m.mu.Unlock()
	idempotent := copies[0].method == http.MethodGet
	if !idempotent && runs > 1 {
		return fmt.Sprintf("ran %d times", runs)
	}
	whole, _ := io.ReadAll(standin.Content(copies[0].id, m.bytes))
	refused := 0
	for _, c := range copies {
		switch outcome := c.result.header.Get("Oleander-Result"); {
		case c.result.err != nil: // the caller saw a broken connection
		case outcome == "answered" && (runs == 0 || c.result.body != string(whole)):
			return fmt.Sprintf("answered with %d bytes after %d runs", len(c.result.body), runs)
		case outcome == "not-run" && runs > 0 && strings.HasPrefix(c.result.header.Get("Oleander-Reason"), "key"):
			return "refused as not run by a home that cannot know"
		case outcome == "not-run":
			refused++
		case outcome == "":
			return "no typed outcome"
		}
	}
	// One copy may get the permission first, be refused for want of retry budget, and so release the key for the other
	// copy, which runs. When every copy is refused, none may have run.
	if !idempotent && refused == len(copies) && runs > 0 {
		return "ran, but is said not to have run"
	}
	return ""
}

func count(r result, answered, notRun, unknown, broken *atomic.Int64) {
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
