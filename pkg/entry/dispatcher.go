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

// dispatcher serializes the calls of the decision core and passes its decisions to the goroutines of the requests. The
// core's calls take about a microsecond, so a mutex costs less than a mailbox would.
type dispatcher struct {
	clock oleanderline.Clock
	// probe is called with the mutex held; it must not block.
	probe func(oleanderline.MinionID)
	wake  chan struct{} // has a value when the core is no longer idle

	mu      sync.Mutex
	core    *dispatch.Core
	tickets map[dispatch.RequestID]*ticket
	last    dispatch.RequestID
	actions []dispatch.Action
	refused map[dispatch.Reason]*metrics.Counter
	resting bool // the core was idle at the last tick
}

// ticket stands for one request that waits for a decision.
type ticket struct {
	id       dispatch.RequestID
	decision chan decision
}

// decision is an action with what the core knows about hedging the request.
type decision struct {
	dispatch.Action
	hedgeAfter time.Duration // zero: not known
}

func newDispatcher(c *common.Common, core *dispatch.Core, probe func(oleanderline.MinionID)) *dispatcher {
	return &dispatcher{
		clock:   c.Clock,
		probe:   probe,
		wake:    make(chan struct{}, 1),
		core:    core,
		tickets: map[dispatch.RequestID]*ticket{},
		refused: refusalCounters(c.Metrics),
	}
}

func refusalCounters(set *metrics.Set) map[dispatch.Reason]*metrics.Counter {
	return map[dispatch.Reason]*metrics.Counter{
		dispatch.ReasonQueueFull: set.NewCounter(`oleander_entry_refused_total{reason="queue-full"}`),   // the queue of the service was full
		dispatch.ReasonDeadline:  set.NewCounter(`oleander_entry_refused_total{reason="deadline"}`),     // no answer was possible before the deadline
		dispatch.ReasonNoMinion:  set.NewCounter(`oleander_entry_refused_total{reason="no-minion"}`),    // no minion of the service took requests
		dispatch.ReasonShed:      set.NewCounter(`oleander_entry_refused_total{reason="shed"}`),         // a rule sheds low-priority requests
		dispatch.ReasonLimit:     set.NewCounter(`oleander_entry_refused_total{reason="limit"}`),        // a rule limits the service
		dispatch.ReasonStopping:  set.NewCounter(`oleander_entry_refused_total{reason="stopping"}`),     // the entry stops
		dispatch.ReasonBudget:    set.NewCounter(`oleander_entry_refused_total{reason="retry-budget"}`), // refused by a minion, and the retry budget was used up
	}
}

// update runs one change of the core and carries out what it decides.
func (d *dispatcher) update(change func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actions = change(d.core, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
}

func (d *dispatcher) deliverLocked(actions []dispatch.Action) {
	for _, action := range actions {
		if action.Kind == dispatch.ActionProbe {
			d.probe(action.Minion)
			continue
		}
		t, ok := d.tickets[action.Request]
		if !ok {
			continue
		}
		delete(d.tickets, action.Request)
		if action.Kind == dispatch.ActionRefuse {
			if counter, ok := d.refused[action.Reason]; ok {
				counter.Inc()
			}
		}
		// The channel has room, because the core decides once for each Arrive or Retry.
		next := decision{Action: action}
		if action.Kind == dispatch.ActionSend {
			next.hedgeAfter = d.core.HedgeAfter(t.id)
		}
		t.decision <- next
	}
	d.wakeLocked()
}

// rest returns how long the next tick may wait, unless wake gets a value.
func (d *dispatcher) rest() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resting = d.core.Idle()
	if d.resting {
		return dispatch.IdleTick
	}
	return tickInterval
}

func (d *dispatcher) wakeLocked() {
	if !d.resting || d.core.Idle() {
		return
	}
	d.resting = false
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// arrive passes a new request to the core. The request's id is set.
func (d *dispatcher) arrive(request dispatch.Request) *ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	request.ID = d.last
	t := &ticket{id: request.ID, decision: make(chan decision, 1)}
	d.tickets[t.id] = t
	d.actions = d.core.Arrive(request, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
	return t
}

// wait returns the decision about a request. If the context ends first, the request is withdrawn and ok is false.
func (d *dispatcher) wait(ctx context.Context, t *ticket) (action decision, ok bool) {
	select {
	case action = <-t.decision:
		return action, true
	default:
	}
	select {
	case action = <-t.decision:
		return action, true
	case <-ctx.Done():
		return decision{}, d.withdraw(t)
	}
}

// withdraw ends a request that waits. A decision to send that was taken meanwhile is undone.
func (d *dispatcher) withdraw(t *ticket) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.actions = d.actions[:0]
	select {
	case action := <-t.decision:
		if action.Kind == dispatch.ActionSend {
			finish := dispatch.Finish{Request: t.id, Minion: action.Minion, Result: oleanderline.ResultNotRun}
			d.actions = d.core.Done(finish, now, d.actions)
		}
	default:
	}
	delete(d.tickets, t.id)
	d.actions = d.core.Cancel(t.id, now, d.actions)
	d.deliverLocked(d.actions)
	return false
}

// done reports the end of an exchange. With again set, the request is kept for retry.
func (d *dispatcher) done(finish dispatch.Finish, again bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if again {
		// To the core, "not run" means that the request may be sent again.
		finish.Result = oleanderline.ResultNotRun
	}
	now := d.clock.Now()
	d.actions = d.core.Done(finish, now, d.actions[:0])
	if !again && finish.Result == oleanderline.ResultNotRun {
		d.actions = d.core.Cancel(finish.Request, now, d.actions)
	}
	d.deliverLocked(d.actions)
}

// retry asks for another decision about a request after done.
func (d *dispatcher) retry(t *ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tickets[t.id] = t
	d.actions = d.core.Retry(t.id, d.clock.Now(), d.actions[:0])
	d.deliverLocked(d.actions)
}

// hedge asks for a second minion for a request in flight.
func (d *dispatcher) hedge(t *ticket) (minion oleanderline.MinionID, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actions = d.core.Hedge(t.id, d.clock.Now(), d.actions[:0])
	for _, action := range d.actions {
		if action.Kind == dispatch.ActionSend && action.Hedge {
			minion, ok = action.Minion, true
			continue
		}
		d.deliverLocked([]dispatch.Action{action})
	}
	return minion, ok
}
