// Package maintenance decides which VMs of a maintenance window are vacated and taken down next. It is pure: it does no I/O
// and reads no clock.
package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// planned is the share of a window's time that is planned with; the rest covers repeated orders.
	planned = 0.75
	// shortestVacate and longestVacate bound the time in which tasks may leave a VM before it is taken down.
	shortestVacate = 300 * time.Millisecond
	longestVacate  = 6 * time.Second
	// returnSlack is added to the time that maintenance takes before a VM that is listed as up counts as back.
	returnSlack = 200 * time.Millisecond
	// ahead is how many times AtOnce VMs are vacated or down: the next ones become empty while others are down.
	ahead = 2
	// repeat is how long an order without an answer waits until it is repeated.
	repeat = time.Second
)

// Cell is what the coordinator asks about the tasks on a worker.
type Cell interface {
	// Empty reports whether nothing runs on the worker.
	Empty(id oleanderline.WorkerID) bool
	// MayStopAll reports whether all that runs on the worker may be ended at once.
	MayStopAll(id oleanderline.WorkerID) bool
	// ShortOfCapacity reports whether lasting tasks wait for room that a vacated worker could give them.
	ShortOfCapacity() bool
}

// Order takes one VM down.
type Order struct {
	Window oleanderline.WindowID
	VM     oleanderline.VMID
}

// Decision is what to do next.
type Decision struct {
	Vacate []oleanderline.WorkerID // all workers that tasks should leave
	Orders []Order
}

type phase int

const (
	waiting phase = iota
	vacating
	intended  // the order is given once it is stored that it may be
	inherited // an earlier leader may have given an order, which may be carried out late
	ordered   // it is not known whether the order was carried out
	accepted  // down, or back already
	finished
)

// mayBeDown reports whether a VM in the phase counts as down.
func (p phase) mayBeDown() bool {
	return p == intended || p == inherited || p == ordered || p == accepted
}

type vm struct {
	phase  phase
	since  time.Time
	worker oleanderline.WorkerID // when it was vacated
}

type window struct {
	oleanderline.MaintenanceWindow
	vms      map[oleanderline.VMID]*vm
	complete bool
}

// Coordinator carries out maintenance windows, one VM after the other.
type Coordinator struct {
	takes   time.Duration // of the maintenance of a VM
	windows map[oleanderline.WindowID]*window
	past    map[oleanderline.WindowID]Progress // as stored by earlier leaders, until the window is known
	dirty   map[oleanderline.WindowID]bool
}

// Progress is what is stored of a window.
type Progress struct {
	Done []oleanderline.VMID `json:"done,omitempty"`
	// Ordered are the VMs that a leader may have ordered down without an answer. A later leader counts them as down.
	Ordered  []oleanderline.VMID `json:"sent,omitempty"`
	Complete bool                `json:"complete,omitempty"`
}

// New returns a coordinator. takes is how long the maintenance of a VM takes.
func New(takes time.Duration) *Coordinator {
	return &Coordinator{
		takes:   takes,
		windows: map[oleanderline.WindowID]*window{},
		past:    map[oleanderline.WindowID]Progress{},
		dirty:   map[oleanderline.WindowID]bool{},
	}
}

// Restore takes over what an earlier leader has stored.
func (c *Coordinator) Restore(id oleanderline.WindowID, progress Progress) { c.past[id] = progress }

// Add takes over a window that operators ask for. It does nothing if the window is known.
func (c *Coordinator) Add(asked oleanderline.MaintenanceWindow) {
	if c.windows[asked.ID] != nil {
		return
	}
	past := c.past[asked.ID]
	w := &window{MaintenanceWindow: asked, vms: map[oleanderline.VMID]*vm{}, complete: past.Complete}
	for _, id := range asked.VMs {
		w.vms[id] = &vm{}
	}
	for _, id := range past.Ordered {
		if v := w.vms[id]; v != nil {
			v.phase = inherited
		}
	}
	for _, id := range past.Done {
		if v := w.vms[id]; v != nil {
			v.phase = finished
		}
	}
	c.windows[asked.ID] = w
	c.dirty[asked.ID] = true
}

// Open reports whether a window is not complete.
func (c *Coordinator) Open() bool {
	for _, w := range c.windows {
		if !w.complete {
			return true
		}
	}
	return false
}

// Changes returns the progress of the windows that have changed since the last call.
func (c *Coordinator) Changes() map[oleanderline.WindowID]Progress {
	changes := map[oleanderline.WindowID]Progress{}
	for id := range c.dirty {
		w := c.windows[id]
		progress := Progress{Complete: w.complete}
		for _, name := range w.VMs {
			switch w.vms[name].phase {
			case accepted, finished:
				progress.Done = append(progress.Done, name)
			case intended, inherited, ordered:
				progress.Ordered = append(progress.Ordered, name)
			}
		}
		changes[id] = progress
	}
	clear(c.dirty)
	return changes
}

// Stored tells that the progress of a window is stored, and returns the orders that may be given now.
func (c *Coordinator) Stored(id oleanderline.WindowID, progress Progress, now time.Time) []Order {
	w := c.windows[id]
	if w == nil {
		return nil
	}
	var orders []Order
	for _, name := range progress.Ordered {
		if v := w.vms[name]; v != nil && v.phase == intended {
			v.phase, v.since = ordered, now
			orders = append(orders, Order{Window: id, VM: name})
		}
	}
	return orders
}

// Decide returns what to do next, given what the platform says about all VMs.
func (c *Coordinator) Decide(list []oleanderline.FleetVM, cell Cell, now time.Time) Decision {
	known := map[oleanderline.VMID]oleanderline.FleetVM{}
	for _, v := range list {
		known[v.ID] = v
	}
	var d Decision
	for _, id := range slices.Sorted(maps.Keys(c.windows)) {
		if w := c.windows[id]; !w.complete {
			c.advance(w, known, cell, now, &d)
		}
	}
	return d
}

// advance takes one window a step further.
func (c *Coordinator) advance(w *window, known map[oleanderline.VMID]oleanderline.FleetVM, cell Cell, now time.Time, d *Decision) {
	down, emptied, left := c.count(w, known, now)
	if left == 0 {
		w.complete = true
		c.dirty[w.ID] = true
		return
	}
	crowded := cell.ShortOfCapacity()
	for _, id := range w.VMs {
		v, listed := w.vms[id], known[id]
		if crowded && v.phase == vacating && !cell.Empty(v.worker) {
			v.phase = waiting
			emptied--
		}
		if v.phase == waiting && !crowded && down+emptied < ahead*w.AtOnce && listed.State == oleanderline.FleetUp && !slices.Contains(d.Vacate, listed.Worker) {
			*v = vm{phase: vacating, since: now, worker: listed.Worker}
			emptied++
		}
		switch v.phase {
		case vacating:
			d.Vacate = append(d.Vacate, v.worker)
			if down < w.AtOnce && c.mayGoDown(w, v, cell, now) {
				v.phase = intended
				c.dirty[w.ID] = true
				down++
			}
		case intended:
			d.Vacate = append(d.Vacate, v.worker)
		case inherited:
			if listed.State != oleanderline.FleetUp {
				break
			}
			if v.worker != listed.Worker {
				v.worker, v.since = listed.Worker, now
			}
			d.Vacate = append(d.Vacate, v.worker)
			if c.mayGoDown(w, v, cell, now) {
				v.phase, v.since = ordered, now
				d.Orders = append(d.Orders, Order{Window: w.ID, VM: id})
			}
		case ordered:
			d.Vacate = append(d.Vacate, v.worker)
			if now.Sub(v.since) >= repeat {
				v.since = now
				d.Orders = append(d.Orders, Order{Window: w.ID, VM: id})
			}
		}
	}
}

// count returns how many VMs of a window are down or may be, are being vacated, and have not had their maintenance. It takes
// note of those that have, and of those that have gone for good.
func (c *Coordinator) count(w *window, known map[oleanderline.VMID]oleanderline.FleetVM, now time.Time) (down, emptied, left int) {
	for _, id := range w.VMs {
		v := w.vms[id]
		listed, exists := known[id]
		switch {
		case !exists && v.phase != finished:
			v.phase = finished
			c.dirty[w.ID] = true
		case v.phase == accepted && listed.State == oleanderline.FleetUp && now.Sub(v.since) >= c.takes+returnSlack:
			v.phase = finished
		}
		switch {
		case v.phase.mayBeDown() || (exists && listed.State == oleanderline.FleetMaintenance):
			down++
		case v.phase == vacating:
			emptied++
		}
		if v.phase != finished {
			left++
		}
	}
	return down, emptied, left
}

// mayGoDown reports whether a VM that is being vacated is empty, or has had its time and may lose what runs there.
func (c *Coordinator) mayGoDown(w *window, v *vm, cell Cell, now time.Time) bool {
	return cell.Empty(v.worker) || (now.Sub(v.since) >= w.vacateTime(c.takes) && cell.MayStopAll(v.worker))
}

// vacateTime returns how long tasks may take to leave a VM, so that all VMs of the window have their turn in time.
func (w *window) vacateTime(takes time.Duration) time.Duration {
	turns := (len(w.VMs) + w.AtOnce - 1) / max(1, w.AtOnce)
	turn := time.Duration(planned*float64(w.Duration)) / time.Duration(max(1, turns))
	return min(max(ahead*turn-takes-returnSlack, shortestVacate), longestVacate)
}

// Answered takes in how an order ended.
func (c *Coordinator) Answered(order Order, result Result, now time.Time) {
	w := c.windows[order.Window]
	if w == nil || w.vms[order.VM] == nil {
		return
	}
	v := w.vms[order.VM]
	if v.phase != ordered {
		return
	}
	switch result {
	case Accepted:
		v.phase, v.since = accepted, now
		c.dirty[w.ID] = true
	case Refused:
		v.phase = finished
		c.dirty[w.ID] = true
	case NotDone:
		v.phase = waiting
		c.dirty[w.ID] = true
	case Unknown: // it is repeated
	}
}

// Result tells how an order ended.
type Result int

// Results of orders.
const (
	Accepted Result = iota
	NotDone         // it had no effect and may be given again
	Refused         // the VM does not belong to the window, or does not exist any more
	Unknown         // the answer was lost
)
