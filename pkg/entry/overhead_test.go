package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// loadResult has the measurements of one run of requests at a fixed rate.
type loadResult struct {
	p50, p99      time.Duration
	allocs, bytes float64 // per request, in total of the caller, the minion and, if it is used, the entry
}

// runLoad sends n requests at a rate in requests per second. Latencies count from the actual start of each request, not
// from its scheduled time.
func runLoad(b *testing.B, client *http.Client, urls []string, rate, n int) loadResult {
	const workers = 64
	latencies := make([]time.Duration, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for i := w; i < n; i += workers {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				sent := time.Now()
				response, err := client.Get(urls[i%len(urls)])
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Errorf("status %d", response.StatusCode)
				}
				latencies[i] = time.Since(sent)
			}
		})
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	slices.Sort(latencies)
	return loadResult{
		p50:    latencies[n/2],
		p99:    latencies[n*99/100],
		allocs: float64(after.Mallocs-before.Mallocs) / float64(n),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
	}
}

// BenchmarkOverhead compares requests through one entry with requests directly to the minions, on loopback in one
// process. The metrics with "added" in their names are differences between the two runs.
func BenchmarkOverhead(b *testing.B) {
	answer := make([]byte, 200)
	c := newCluster(b)
	var direct []string
	for i := range 16 {
		server := c.addMinion(fmt.Sprintf("m-%d", i), func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
		direct = append(direct, server.URL+"/x")
	}
	d := c.addEntries("own-1")[0]
	through := []string{"http://" + d.CallerAddress() + "/s/" + testService + "/x"}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for _, rate := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			runLoad(b, client, direct, rate, 500)
			runLoad(b, client, through, rate, 500)
			b.ResetTimer()
			base := runLoad(b, client, direct, rate, b.N)
			entry := runLoad(b, client, through, rate, b.N)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(micros(base.p50), "direct-p50-us")
			b.ReportMetric(micros(base.p99), "direct-p99-us")
			b.ReportMetric(micros(entry.p50-base.p50), "added-p50-us")
			b.ReportMetric(micros(entry.p99-base.p99), "added-p99-us")
			b.ReportMetric(entry.allocs-base.allocs, "added-allocs/req")
			b.ReportMetric(entry.bytes-base.bytes, "added-B/req")
		})
	}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// BenchmarkDecision measures the calls of the decision core for one request, which run under the dispatcher's mutex, with
// all processors in parallel: the arrival with the choice of a minion, and the end.
func BenchmarkDecision(b *testing.B) {
	for _, minions := range []int{65, 870} {
		b.Run(fmt.Sprintf("minions=%d", minions), func(b *testing.B) {
			c := newCluster(b)
			c.adjustSettings = func(s *Settings) { s.VMListPoll = 1500 * time.Millisecond }
			server := httptest.NewServer(http.NotFoundHandler())
			b.Cleanup(server.Close)
			for i := range minions {
				c.listMinion(fmt.Sprintf("m-%d", i), server.Listener.Addr().String())
			}
			d := c.addEntries("own-1")[0].dispatcher
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					pending := d.arrive(dispatch.Request{Service: testService, Idempotent: true, Arrived: time.Now()})
					action, ok := d.wait(b.Context(), pending)
					require.True(b, ok)
					completion := dispatch.Completion{
						Request: pending.id, Minion: action.Minion, Result: oleanderline.ResultAnswered, Latency: time.Millisecond,
					}
					d.done(completion, false)
				}
			})
		})
	}
}
