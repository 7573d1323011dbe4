package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// dispatcher serializes calls to the decision core and passes its decisions to the goroutines of the requests. A call
// takes about a microsecond, so a mutex costs less than passing messages to a goroutine.
type dispatcher struct {
	clock oleanderline.Clock
	// probe starts the probe of an ejected minion. It is called with the mutex held and must not block.
	probe func(oleanderline.MinionID)
	wake  chan struct{} // receives a value when the core stops being idle

	mu       sync.Mutex
	core     *dispatch.Core
	pending  map[dispatch.RequestID]*pendingRequest
	lastID   dispatch.RequestID
	actions  []dispatch.Action
	refusals map[dispatch.Reason]*metrics.Counter
	idle     bool // the core was idle at the last tick
}

// pendingRequest is a request that waits for a decision of the core.
type pendingRequest struct {
	id       dispatch.RequestID
	decision chan decision
}

// decision is an action of the core, with the delay after which the request may be hedged.
type decision struct {
	dispatch.Action
	hedgeAfter time.Duration // zero if not known
}

func newDispatcher(c *common.Common, core *dispatch.Core, probe func(oleanderline.MinionID)) *dispatcher {
	return &dispatcher{
		clock:    c.Clock,
		probe:    probe,
		wake:     make(chan struct{}, 1),
		core:     core,
		pending:  map[dispatch.RequestID]*pendingRequest{},
		refusals: refusalCounters(c.Metrics),
	}
}

func refusalCounters(set *metrics.Set) map[dispatch.Reason]*metrics.Counter {
	return map[dispatch.Reason]*metrics.Counter{
		dispatch.ReasonQueueFull: set.NewCounter(`oleander_entry_refused_total{reason="queue-full"}`),   // the queue of the service was full
		dispatch.ReasonDeadline:  set.NewCounter(`oleander_entry_refused_total{reason="deadline"}`),     // the request could not be answered before its deadline
		dispatch.ReasonNoMinion:  set.NewCounter(`oleander_entry_refused_total{reason="no-minion"}`),    // no minion of the service accepted requests
		dispatch.ReasonShed:      set.NewCounter(`oleander_entry_refused_total{reason="shed"}`),         // shed by a rule because of low priority
		dispatch.ReasonLimit:     set.NewCounter(`oleander_entry_refused_total{reason="limit"}`),        // over the limit that a rule sets for the service
		dispatch.ReasonStopping:  set.NewCounter(`oleander_entry_refused_total{reason="stopping"}`),     // the entry is stopping
		dispatch.ReasonBudget:    set.NewCounter(`oleander_entry_refused_total{reason="retry-budget"}`), // refused by a minion while the retry budget was exhausted
	}
}

// update calls change with the core and carries out the actions that it returns.
func (d *dispatcher) update(change func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actions = change(d.core, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
}

// deliverLocked starts the probes and passes the decisions to the waiting requests.
func (d *dispatcher) deliverLocked(actions []dispatch.Action) {
	for _, action := range actions {
		if action.Kind == dispatch.ActionProbe {
			d.probe(action.Minion)
			continue
		}
		pending, ok := d.pending[action.Request]
		if !ok {
			continue
		}
		delete(d.pending, action.Request)
		if action.Kind == dispatch.ActionRefuse {
			if counter, ok := d.refusals[action.Reason]; ok {
				counter.Inc()
			}
		}
		// This does not block: the core decides once for each Arrive or Retry, and the channel buffers one decision.
		next := decision{Action: action}
		if action.Kind == dispatch.ActionSend {
			next.hedgeAfter = d.core.HedgeAfter(pending.id)
		}
		pending.decision <- next
	}
	d.wakeLocked()
}

// tickDelay returns the time until the next tick is due. The tick is due earlier if wake receives a value.
func (d *dispatcher) tickDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle = d.core.Idle()
	if d.idle {
		return dispatch.IdleTick
	}
	return tickInterval
}

// wakeLocked ends the wait for the next tick early if the core has stopped being idle.
func (d *dispatcher) wakeLocked() {
	if !d.idle || d.core.Idle() {
		return
	}
	d.idle = false
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// arrive passes a new request to the core and sets its id.
func (d *dispatcher) arrive(request dispatch.Request) *pendingRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	request.ID = d.lastID
	pending := &pendingRequest{id: request.ID, decision: make(chan decision, 1)}
	d.pending[pending.id] = pending
	d.actions = d.core.Arrive(request, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
	return pending
}

// wait returns the decision about a request. If the context ends first, the request is cancelled and ok is false.
func (d *dispatcher) wait(ctx context.Context, pending *pendingRequest) (chosen decision, ok bool) {
	select {
	case chosen = <-pending.decision:
		return chosen, true
	default:
	}
	select {
	case chosen = <-pending.decision:
		return chosen, true
	case <-ctx.Done():
		return decision{}, d.cancel(pending)
	}
}

// cancel ends a request that waits for a decision and returns false. If the core has decided to send it meanwhile, the
// send is reported as not run.
func (d *dispatcher) cancel(pending *pendingRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.actions = d.actions[:0]
	select {
	case chosen := <-pending.decision:
		if chosen.Kind == dispatch.ActionSend {
			completion := dispatch.Completion{Request: pending.id, Minion: chosen.Minion, Result: oleanderline.ResultNotRun}
			d.actions = d.core.Done(completion, now, d.actions)
		}
	default:
	}
	delete(d.pending, pending.id)
	d.actions = d.core.Cancel(pending.id, now, d.actions)
	d.deliverLocked(d.actions)
	return false
}

// done reports the end of an exchange to the core. If retry is set, the core keeps the request for a later call of retry.
func (d *dispatcher) done(completion dispatch.Completion, retry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if retry {
		// For the core, ResultNotRun means that the request may be retried.
		completion.Result = oleanderline.ResultNotRun
	}
	now := d.clock.Now()
	d.actions = d.core.Done(completion, now, d.actions[:0])
	if !retry && completion.Result == oleanderline.ResultNotRun {
		d.actions = d.core.Cancel(completion.Request, now, d.actions)
	}
	d.deliverLocked(d.actions)
}

// retry requests another decision about a request that done has kept for retry.
func (d *dispatcher) retry(pending *pendingRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[pending.id] = pending
	d.actions = d.core.Retry(pending.id, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
}

// hedge returns a second minion for a request in flight. It is false if the core does not allow a second copy.
func (d *dispatcher) hedge(pending *pendingRequest) (minion oleanderline.MinionID, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actions = d.core.Hedge(pending.id, d.clock.Now(), d.actions[:0])
	for _, action := range d.actions {
		if action.Kind == dispatch.ActionSend && action.Hedge {
			minion, ok = action.Minion, true
			continue
		}
		d.deliverLocked([]dispatch.Action{action})
	}
	return minion, ok
}
