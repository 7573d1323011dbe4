package agent

import (
	"context"
	"slices"
	"sync"
)

// outbox holds events that the leader has not been sent yet. Its size is bounded by the workers and their open orders: a new
// report replaces the one before of the same life of the worker: that one listed no end that the new one leaves out, as ends
// are listed until the leader has recorded them.
type outbox struct {
	mu     sync.Mutex
	events []Event
	filled chan struct{}
}

func newOutbox() *outbox { return &outbox{filled: make(chan struct{}, 1)} }

func (o *outbox) add(event Event) {
	o.mu.Lock()
	if event.Kind == EventReport || event.Kind == EventCallFailed {
		o.dropOlder(event)
	}
	o.events = append(o.events, event)
	o.mu.Unlock()
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// dropOlder removes the waiting event that a newer one replaces. The caller holds the mutex.
func (o *outbox) dropOlder(newer Event) {
	i := slices.IndexFunc(o.events, func(e Event) bool {
		return e.Kind == newer.Kind && e.Worker == newer.Worker && e.Serves == newer.Serves && e.Report.Life == newer.Report.Life
	})
	if i >= 0 {
		o.events = slices.Delete(o.events, i, i+1)
	}
}

// take waits for events and returns all.
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
		case <-o.filled:
		case <-ctx.Done():
			return nil
		}
	}
}
