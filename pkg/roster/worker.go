package roster

import (
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

var errAgentLost = errors.New("its agent serves the worker no more")

// uncertainCalls is the number of calls that an order counts whose agent was lost: more than one, as a call may still be on
// its way.
const uncertainCalls = 2

// Worker is a worker that an agent serves.
type Worker struct {
	roster   *Roster
	member   *member
	id       oleanderline.WorkerID
	serves   int64
	leaseEnd time.Time
	open     map[orderKey]plan.Order // orders without a result, guarded by the roster's mutex
	closed   bool                    // likewise
}

type orderKey struct {
	kind plan.OrderKind
	run  oleanderline.RunKey
}

func keyOf(order plan.Order) orderKey { return orderKey{order.Kind, order.Key} }

// Order passes an order to the agent. Every order has a result, at the latest when the worker is closed.
func (w *Worker) Order(order plan.Order) {
	r := w.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.closed {
		go r.events.Result(plan.Result{Order: order, Err: oleanderline.ErrUnavailable})
		return
	}
	w.open[keyOf(order)] = order
	item := agent.Item{Kind: agent.ItemOrder, Worker: w.id, Order: order, At: r.clock.Now()}
	if order.Kind == plan.OrderStart {
		item.Order.Payload = w.member.payload(order)
	}
	w.member.add(item)
}

// payload returns the payload of a start if the agent does not have it yet. The caller holds the roster's mutex.
func (m *member) payload(order plan.Order) string {
	job := order.Key.Task.Job
	if _, ok := m.payloads[job]; ok {
		return ""
	}
	if len(m.payloads) >= payloadsKept {
		clear(m.payloads)
		m.add(agent.Item{Kind: agent.ItemForget})
	}
	m.payloads[job] = struct{}{}
	return order.Payload
}

// Ack tells which ends are recorded.
func (w *Worker) Ack(acked plan.Acked) {
	r := w.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.closed {
		w.member.add(agent.Item{Kind: agent.ItemAck, Worker: w.id, Acked: acked})
	}
}

// answered reports whether a result is awaited, and takes it. The caller holds the roster's mutex.
func (w *Worker) answered(order plan.Order) bool {
	key := keyOf(order)
	_, ok := w.open[key]
	delete(w.open, key)
	return ok
}

// Close takes the worker away from the agent. It returns when all has lapsed that the agent has ordered, or may still
// order.
func (w *Worker) Close() time.Time {
	r := w.roster
	r.mu.Lock()
	w.closed = true
	if w.member.workers[w.id] == w {
		delete(w.member.workers, w.id)
	}
	w.member.add(agent.Item{Kind: agent.ItemLeave, Worker: w.id})
	orders := w.open
	w.open = nil
	end := w.member.granted
	if now := r.clock.Now(); end.Before(now) {
		end = now
	}
	r.mu.Unlock()
	for _, order := range orders {
		go r.events.Result(plan.Result{
			Order: order, Attempts: uncertainCalls, Err: fmt.Errorf("%w: %w", errAgentLost, oleanderline.ErrUncertain),
		})
	}
	return end.Add(link.ExpiryBound(r.settings.Lease))
}
