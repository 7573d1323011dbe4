package agent

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// reporter queues the events of one link for the leader.
type reporter struct {
	session    *session
	assignment int64
}

var _ link.Events = (*reporter)(nil)

// Report implements link.Events.
func (r *reporter) Report(id oleanderline.WorkerID, report oleanderline.WorkerReport, sent time.Time) {
	r.add(Event{Kind: EventReport, Worker: id, Report: report, Sent: r.session.leaderTime(sent)})
}

// Result implements link.Events.
func (r *reporter) Result(result plan.Result) {
	if result.Order.Kind == plan.OrderStart {
		r.session.logStart(result)
	}
	order := result.Order
	order.Payload, order.Checkpoint = "", ""
	r.add(Event{
		Kind: EventResult, Worker: order.Worker, Order: order, Attempts: result.Attempts, Took: result.Took, Failure: FailureOf(result.Err),
	})
}

// CallFailed implements link.Events.
func (r *reporter) CallFailed(id oleanderline.WorkerID, err error) {
	r.add(Event{Kind: EventCallFailed, Worker: id, Failure: FailureOf(err)})
}

// Replaced implements link.Events.
func (r *reporter) Replaced(id oleanderline.WorkerID, sent time.Time) {
	r.add(Event{Kind: EventReplaced, Worker: id, Sent: r.session.leaderTime(sent)})
}

// LeaseExpired implements link.Events.
func (r *reporter) LeaseExpired(id oleanderline.WorkerID, expiry plan.Expiry) {
	kind := EventLeaseExpired
	if expiry.AnsweredOnly {
		kind = EventAnsweredLeasesExpired
	}
	r.add(Event{Kind: kind, Worker: id, LeaseEnd: r.session.leaderTime(expiry.End)})
}

// Fenced implements link.Events.
func (r *reporter) Fenced(id oleanderline.WorkerID) {
	r.session.fenced.Add(1)
	r.add(Event{Kind: EventFenced, Worker: id})
}

func (r *reporter) add(event Event) {
	event.Serves = r.assignment
	r.session.outbox.add(event)
}
