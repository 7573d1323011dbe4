package roster

import (
	"errors"
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

var errUnassigned = errors.New("worker is no longer served by this agent")

// uncertainAttempts is the number of attempts in the result of an order whose agent was lost. It is more than one, as a call may
// still be in flight.
const uncertainAttempts = 2

// Worker is a worker that is assigned to an agent.
type Worker struct {
	roster     *Roster
	agent      *agentState
	id         oleanderline.WorkerID
	assignment int64
	leaseEnd   time.Time
	pending    map[orderKey]plan.Order // orders without a result, guarded by the roster's mutex
	closed     bool                    // likewise
}

type orderKey struct {
	kind plan.OrderKind
	run  oleanderline.RunKey
}

func keyOf(order plan.Order) orderKey { return orderKey{order.Kind, order.Key} }

// Order queues an order for the agent. Every order has a result, at the latest when the worker is closed.
func (w *Worker) Order(order plan.Order) {
	r := w.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.closed {
		go r.events.Result(plan.Result{Order: order, Err: oleanderline.ErrUnavailable})
		return
	}
	w.pending[keyOf(order)] = order
	item := agent.Item{Kind: agent.ItemOrder, Worker: w.id, Order: order, At: r.clock.Now()}
	if order.Kind == plan.OrderStart {
		item.Order.Payload = w.agent.payloadToSend(order)
	}
	w.agent.enqueue(item)
}

// payloadToSend returns the payload of a start, or "" if the agent has cached that of the job. It clears the agent's cache when
// that is full. The caller holds the roster's mutex.
func (a *agentState) payloadToSend(order plan.Order) string {
	job := order.Key.Task.Job
	if _, ok := a.payloads[job]; ok {
		return ""
	}
	if len(a.payloads) >= maxPayloads {
		clear(a.payloads)
		a.enqueue(agent.Item{Kind: agent.ItemClearPayloads})
	}
	a.payloads[job] = struct{}{}
	return order.Payload
}

// Ack queues for the agent which ends of runs are recorded.
func (w *Worker) Ack(acked plan.Acked) {
	r := w.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.closed {
		w.agent.enqueue(agent.Item{Kind: agent.ItemAck, Worker: w.id, Acked: acked})
	}
}

// takePending reports whether an order has no result yet, and removes it from the pending orders. The caller holds the roster's
// mutex.
func (w *Worker) takePending(order plan.Order) bool {
	key := keyOf(order)
	_, ok := w.pending[key]
	delete(w.pending, key)
	return ok
}

// Close removes the worker from the agent, and gives pending orders an uncertain result. It returns the latest expiry of leases
// that the agent has granted or may still grant, and of those granted before it served the worker. A start without a result may reach a
// later incarnation of the worker, which cuts a deadline on the clock of the earlier one only to the longest lease that it accepts.
func (w *Worker) Close() time.Time {
	r := w.roster
	r.mu.Lock()
	w.closed = true
	if w.agent.workers[w.id] == w {
		delete(w.agent.workers, w.id)
	}
	w.agent.enqueue(agent.Item{Kind: agent.ItemUnassign, Worker: w.id})
	orders := w.pending
	w.pending = nil
	end := w.agent.authorityEnd
	if now := r.clock.Now(); end.Before(now) {
		end = now
	}
	r.mu.Unlock()
	lease := r.settings.Lease
	for _, order := range orders {
		if order.Kind == plan.OrderStart {
			lease = max(lease, r.settings.MaxLease)
		}
		go r.events.Result(plan.Result{
			Order: order, Attempts: uncertainAttempts, Err: fmt.Errorf("%w: %w", errUnassigned, oleanderline.ErrUncertain),
		})
	}
	return common.Later(w.leaseEnd, end.Add(link.ExpiryBound(lease)))
}
