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

// Shape of the load: a mix that stays far below the capacity of the minions.
const (
	callers     = 12
	thinkTime   = 30 * time.Millisecond
	smallAnswer = 200     // bytes
	largeAnswer = 1 << 20 // bytes
	maxWait     = 5 * time.Second
)

// load sends requests as callers do, and keeps what came of each.
type load struct {
	service  oleanderline.ServiceID
	balancer *balancer
	client   *http.Client

	mu       sync.Mutex
	requests []Request
	killed   oleanderline.VMID
	killedAt time.Time
}

func newLoad(service oleanderline.ServiceID, balancer *balancer) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * callers, DisableCompression: true}
	return &load{service: service, balancer: balancer, client: &http.Client{Transport: transport, Timeout: maxWait}}
}

// run sends requests until the context ends, and finishes those in flight.
func (l *load) run(ctx context.Context, seed uint64) {
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

// sendOne sends the request number kind of the mix.
func (l *load) sendOne(id string, kind int) {
	switch {
	case kind == 0:
		l.send(exchange{id: id, method: http.MethodGet, size: largeAnswer})
	case kind < 11:
		l.send(exchange{id: id, method: http.MethodGet, size: smallAnswer})
	case kind < 18:
		l.send(exchange{id: id, method: http.MethodPost, size: smallAnswer})
	default:
		l.sendTwice(exchange{id: id, method: http.MethodPost, size: smallAnswer, key: "key-" + id})
	}
}

// sendTwice sends the same keyed request through two entries at the same time, like a caller that loses patience.
func (l *load) sendTwice(x exchange) {
	targets := l.balancer.pick(2)
	var both sync.WaitGroup
	for _, t := range targets {
		both.Go(func() { l.record(x, l.attempt(x, []target{t})) })
	}
	both.Wait()
}

func (l *load) send(x exchange) {
	// The second target serves if the first does not accept connections, as with a balancer.
	l.record(x, l.attempt(x, l.balancer.pick(2)))
}

func (l *load) record(x exchange, o observed) {
	request := Request{
		ID: x.id, Idempotent: x.method == http.MethodGet, Keyed: x.key != "", Large: x.size == largeAnswer,
		Result: o.result, Reason: o.reason, Wrong: o.wrong, Latency: o.latency,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.broken && o.entry == l.killed {
		request.Reason = "connection to the killed VM broke"
	}
	request.Excused = !l.killedAt.IsZero() && (o.entry == l.killed || homeLost[o.reason])
	l.requests = append(l.requests, request)
}

// homeLost holds the reasons by which entries say that they don't know what became of a key whose home was killed.
var homeLost = map[string]bool{"key-home-lost": true, "key-result-unknown": true}

// noteKill tells that the entry of a VM is about to be killed.
func (l *load) noteKill(id oleanderline.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed, l.killedAt = id, time.Now()
}

// seen returns the requests so far.
func (l *load) seen() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Request(nil), l.requests...)
}
