package plan

import (
	"fmt"
	"time"

	"github.com/oleanderline/oleanderline"
)

// CallFailed marks a worker as unreachable after a call that failed with cause.
func (p *Planner) CallFailed(id oleanderline.WorkerID, cause error) {
	w := p.workers[id]
	if w == nil || w.unreachable {
		return
	}
	w.unreachable = true
	p.note(NoteWorker, oleanderline.RunKey{}, w, fmt.Sprintf("worker is unreachable: %v", cause))
}

// Replaced releases all tasks of a worker at whose address another incarnation has answered a call that was sent at sent: nothing of the
// earlier one runs any more. It does so only if the address is known to be that of the incarnation that has reported last, and a later
// call has not been answered: an address that the directory names by mistake tells nothing about the worker.
func (p *Planner) Replaced(id oleanderline.WorkerID, sent, now time.Time) {
	p.now = now
	w := p.workers[id]
	if w == nil || !w.unreachable || w.service != serviceOpen || sent.Before(w.callSentAt) {
		return
	}
	w.unknownRuns = 0
	p.forgetUnexpected(w)
	for t := range w.tasks {
		if t.state == taskStarting {
			continue // the result of the start decides
		}
		p.noteLost(t, "another incarnation has taken the place of the worker", Loss{RequestedAt: sent})
		p.release(t)
	}
}

// Expiry tells when the leases of the runs on a worker have expired that this term has granted.
type Expiry struct {
	End time.Time
	// AnsweredOnly is set if runs whose start had no answer may continue. The worker may have restarted before it carried out such a
	// start; then it has granted its longest lease to that run, and all runs of before have ended.
	AnsweredOnly bool
}

// LeaseExpired releases the tasks of an unreachable worker on which the leases that this term has granted have expired, by which time
// the worker has stopped their runs. The caller makes sure that no later leader had begun its term by then, which could have extended
// them. Runs of earlier leaders on a worker that has not reported in this term may continue: see expireUnreported. If the worker has
// answered since, the expiry was reported by an earlier link and has no effect.
func (p *Planner) LeaseExpired(id oleanderline.WorkerID, expiry Expiry, now time.Time) {
	p.now = now
	w := p.workers[id]
	if w == nil || !w.unreachable {
		return
	}
	w.reported = w.reported || !w.inherited
	w.unknownRuns = 0
	p.forgetUnexpected(w)
	for t := range w.tasks {
		if t.state == taskStarting {
			continue // the result of the start decides
		}
		if expiry.AnsweredOnly && t.startUnanswered && !t.listed {
			continue
		}
		p.noteLost(t, "lease of the worker expired", Loss{LeaseEnd: expiry.End})
		p.release(t)
	}
}
