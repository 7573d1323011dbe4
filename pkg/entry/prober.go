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
	// probeTimeout covers a connection and an answer; minions are a few milliseconds away.
	probeTimeout = 500 * time.Millisecond
	probeQueue   = 1024
	probeWorkers = 8
	probePath    = "/healthz"
)

// probe is one question to a minion on a fresh connection. result is called once, also if the question is dropped.
type probe struct {
	minion oleanderline.MinionID
	result func(ok bool)
}

// prober asks minions whether they are alive. Its queue is bounded: when it is full, a probe counts as answered without
// being sent, because silence of the prober must not be held against a minion.
type prober struct {
	common  *common.Common
	minions *minions
	onLeave func(oleanderline.MinionID, bool)
	queue   chan probe
	stop    chan struct{}
	workers sync.WaitGroup
	failed  *metrics.Counter
}

func newProber(c *common.Common, m *minions, onLeave func(oleanderline.MinionID, bool)) *prober {
	return &prober{
		common:  c,
		minions: m,
		onLeave: onLeave,
		queue:   make(chan probe, probeQueue),
		stop:    make(chan struct{}),
		failed:  c.Metrics.NewCounter("oleander_entry_probes_failed_total"), // fresh connections to minions that failed
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

// ask queues a probe without blocking.
func (p *prober) ask(id oleanderline.MinionID, result func(ok bool)) {
	select {
	case p.queue <- probe{minion: id, result: result}:
	default:
		p.common.Event(common.EventTaskQueueFull).Warn("too many probes wait, one is dropped")
		go result(true)
	}
}

func (p *prober) work() {
	for {
		select {
		case <-p.stop:
			return
		case next := <-p.queue:
			next.result(p.probe(next.minion))
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
		p.onLeave(id, answer.Leaving)
		ok := answer.Status < http.StatusInternalServerError
		answer.Close()
		return ok
	}
	var failure *minion.Failure
	if errors.As(err, &failure) {
		switch failure.Cause {
		case minion.CauseLeaving:
			p.onLeave(id, true)
			return true
		case minion.CauseRefused, minion.CauseBound:
			return true
		}
	}
	p.failed.Inc()
	p.common.Event(common.EventProbeFailed).WithField("minion", string(id)).WithError(err).Info("fresh connection to a minion failed")
	return false
}
