package plan

import "github.com/oleanderline/oleanderline"

// service is what the planner knows about the process that serves a worker, that is renews its leases and sends it orders.
type service int

const (
	serviceNone    service = iota // no process serves the worker
	serviceOpening                // a process is to serve it, and has not passed on a report since
	serviceOpen                   // a process serves it and passes on its reports
)

// SetServed sets whether a process is to serve a worker from now on. Tasks start on the worker only after that process has passed
// on a report: a start would wait for the first answer of the worker, or be lost if the process is gone already.
func (p *Planner) SetServed(id oleanderline.WorkerID, served bool) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.service = serviceNone
	if served {
		w.service = serviceOpening
	}
}

// confirmService records that the process that serves the worker has passed on a report.
func (w *worker) confirmService() {
	if w.service == serviceOpening {
		w.service = serviceOpen
	}
}
