package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Parameters of the load, which stays far below the capacity of the minions.
const (
	callers        = 12
	thinkTime      = 30 * time.Millisecond
	smallAnswer    = 200     // bytes
	largeAnswer    = 1 << 20 // bytes
	requestTimeout = 5 * time.Second
)

// loadGenerator sends requests as callers do, and records the result of each.
type loadGenerator struct {
	service  oleanderline.ServiceID
	balancer *balancer
	client   *http.Client

	mu       sync.Mutex
	requests []Request
	killed   oleanderline.VMID
	killedAt time.Time
}

func newLoadGenerator(service oleanderline.ServiceID, balancer *balancer) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * callers, DisableCompression: true}
	return &loadGenerator{service: service, balancer: balancer, client: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// run sends requests until the context ends, then waits for those in flight.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for i := 0; ctx.Err() == nil; i++ {
				l.sendOne(fmt.Sprintf("c%d-%d", caller, i), i%20)
				pause := time.NewTimer(time.Duration(random.ExpFloat64() * float64(thinkTime)))
				select {
				case <-ctx.Done():
				case <-pause.C:
				}
				pause.Stop()
			}
		})
	}
	all.Wait()
	l.client.CloseIdleConnections()
}

// sendOne sends a request of the mix. Of every 20 kinds, 1 is a large GET, 10 are small GETs, 7 are POSTs, and 2 are POSTs
// with an idempotency key that are sent twice.
func (l *loadGenerator) sendOne(id string, kind int) {
	switch {
	case kind == 0:
		l.send(requestSpec{id: id, method: http.MethodGet, size: largeAnswer})
	case kind < 11:
		l.send(requestSpec{id: id, method: http.MethodGet, size: smallAnswer})
	case kind < 18:
		l.send(requestSpec{id: id, method: http.MethodPost, size: smallAnswer})
	default:
		l.sendTwice(requestSpec{id: id, method: http.MethodPost, size: smallAnswer, key: "key-" + id})
	}
}

// sendTwice sends the same request with an idempotency key to two entries at the same time, like a caller that retries
// before the first answer arrives.
func (l *loadGenerator) sendTwice(spec requestSpec) {
	targets := l.balancer.pick(2)
	var both sync.WaitGroup
	for _, t := range targets {
		both.Go(func() { l.record(spec, l.attempt(spec, []target{t})) })
	}
	both.Wait()
}

func (l *loadGenerator) send(spec requestSpec) {
	// The second target is used if the first does not accept connections, as a load balancer does.
	l.record(spec, l.attempt(spec, l.balancer.pick(2)))
}

func (l *loadGenerator) record(spec requestSpec, o outcome) {
	request := Request{
		ID: spec.id, Idempotent: spec.method == http.MethodGet, Keyed: spec.key != "", Large: spec.size == largeAnswer,
		Result: o.result, Reason: o.reason, Mismatch: o.mismatch, Latency: o.latency,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.broken && o.entry == l.killed {
		request.Reason = "connection to the killed VM failed"
	}
	request.Explained = !l.killedAt.IsZero() && (o.entry == l.killed || homeLostReasons[o.reason])
	l.requests = append(l.requests, request)
}

// homeLostReasons holds the reasons of unknown results for a key whose home entry was killed.
var homeLostReasons = map[string]bool{"key-home-lost": true, "key-result-unknown": true}

// recordKill records that the entry of a VM is about to be killed.
func (l *loadGenerator) recordKill(id oleanderline.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed, l.killedAt = id, time.Now()
}

// recorded returns the results of the requests so far.
func (l *loadGenerator) recorded() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Request(nil), l.requests...)
}
