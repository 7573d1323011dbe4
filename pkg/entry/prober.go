package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/minion"
)

const (
	// probeTimeout covers connecting and the answer; the round trip to a minion takes a few milliseconds.
	probeTimeout   = 500 * time.Millisecond
	probeQueueSize = 1024
	probeWorkers   = 8
	probePath      = "/healthz"
)

// probeRequest is one health check of a minion on a new connection. onResult is called once, also if the request is
// dropped.
type probeRequest struct {
	minion   oleanderline.MinionID
	onResult func(ok bool)
}

// prober sends health checks to minions. Its queue is bounded. If the queue is full, a probe counts as successful without
// being sent, because an overload of the prober must not count against a minion.
type prober struct {
	common    *common.Common
	minions   *minions
	onLeaving func(oleanderline.MinionID, bool)
	queue     chan probeRequest
	stop      chan struct{}
	workers   sync.WaitGroup
	failed    *metrics.Counter
}

func newProber(c *common.Common, m *minions, onLeaving func(oleanderline.MinionID, bool)) *prober {
	return &prober{
		common:    c,
		minions:   m,
		onLeaving: onLeaving,
		queue:     make(chan probeRequest, probeQueueSize),
		stop:      make(chan struct{}),
		failed:    c.Metrics.NewCounter("oleander_entry_probes_failed_total"), // probes of minions on new connections that failed
	}
}

func (p *prober) start() {
	for range probeWorkers {
		p.workers.Go(p.work)
	}
}

func (p *prober) close() {
	close(p.stop)
	p.workers.Wait()
}

// enqueue queues a probe without blocking.
func (p *prober) enqueue(id oleanderline.MinionID, onResult func(ok bool)) {
	select {
	case p.queue <- probeRequest{minion: id, onResult: onResult}:
	default:
		p.common.Event(common.EventProbeQueueFull).Warn("probe queue is full; probe dropped and counted as successful")
		go onResult(true)
	}
}

func (p *prober) work() {
	for {
		select {
		case <-p.stop:
			return
		case next := <-p.queue:
			next.onResult(p.probe(next.minion))
		}
	}
}

func (p *prober) probe(id oleanderline.MinionID) bool {
	client := p.minions.get(id)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request := &minion.Request{
		Method:     http.MethodGet,
		URL:        &url.URL{Path: probePath},
		Host:       client.Address(),
		Header:     http.Header{},
		Idempotent: true,
		Fresh:      true,
	}
	answer, err := client.Send(ctx, request)
	if err == nil {
		p.onLeaving(id, answer.Leaving)
		ok := answer.Status < http.StatusInternalServerError
		answer.Close()
		return ok
	}
	var failure *minion.Failure
	if errors.As(err, &failure) {
		switch failure.Cause {
		case minion.CauseLeaving:
			p.onLeaving(id, true)
			return true
		case minion.CauseRefused, minion.CauseConnectionLimit:
			return true
		}
	}
	p.failed.Inc()
	p.common.Event(common.EventProbeFailed).WithField("minion", string(id)).WithError(err).Info("probe of minion on a new connection failed; the minion may be ejected")
	return false
}
