package agent

import (
	"context"
	"slices"
	"sync"
)

// outbox holds events that are still to be sent to the leader. Its size is bounded by the number of workers and pending orders,
// as a new report replaces the previous one of the same incarnation of a worker. No end of a run is lost by this, because
// workers list ends in each report until the leader has recorded them.
type outbox struct {
	mu     sync.Mutex
	events []Event
	ready  chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

func (o *outbox) add(event Event) {
	o.mu.Lock()
	if event.Kind == EventReport || event.Kind == EventCallFailed {
		o.dropOlder(event)
	}
	o.events = append(o.events, event)
	o.mu.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// dropOlder removes the queued event that a newer one replaces. The caller holds the mutex.
func (o *outbox) dropOlder(newer Event) {
	i := slices.IndexFunc(o.events, func(e Event) bool {
		return e.Kind == newer.Kind && e.Worker == newer.Worker && e.Serves == newer.Serves && e.Report.Life == newer.Report.Life
	})
	if i >= 0 {
		o.events = slices.Delete(o.events, i, i+1)
	}
}

// take waits until there are events, and removes and returns all of them. It returns nil once the context ends.
func (o *outbox) take(ctx context.Context) []Event {
	for {
		o.mu.Lock()
		events := o.events
		o.events = nil
		o.mu.Unlock()
		if len(events) > 0 {
			return events
		}
		select {
		case <-o.ready:
		case <-ctx.Done():
			return nil
		}
	}
}
