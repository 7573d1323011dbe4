// Package maintenance decides which VMs of a maintenance window are vacated and taken down next. It does no I/O and reads no
// clock.
package maintenance

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// plannedShare is the share of a window's duration over which the VMs are scheduled. The rest is a reserve for repeated
	// orders.
	plannedShare = 0.75
	// minVacateTime and maxVacateTime bound the time that tasks have to move off a VM before it is taken down.
	minVacateTime = 300 * time.Millisecond
	maxVacateTime = 6 * time.Second
	// returnSlack is the time beyond the duration of the maintenance after which a VM that is listed as up counts as back.
	returnSlack = 200 * time.Millisecond
	// goneAfter is how long lists must lack a VM until it counts as removed, because a single list may be incomplete.
	goneAfter = 3 * time.Second
	// vacateAhead times MaxDown is the maximum number of VMs that are vacated or down at once, so that the next VMs become empty
	// while others are down.
	vacateAhead = 2
	// repeatInterval is the interval at which an order without an answer is repeated.
	repeatInterval = time.Second
)

// Cell provides the state of workers and their tasks.
type Cell interface {
	// Empty reports whether no task runs on the worker.
	Empty(id oleanderline.WorkerID) bool
	// MayStopAll reports whether all tasks on the worker may be ended at once.
	MayStopAll(id oleanderline.WorkerID) bool
	// TakeDown records that the VM of a worker goes down: its tasks count as unavailable from now on. Spare takes that back.
	TakeDown(id oleanderline.WorkerID)
	Spare(id oleanderline.WorkerID)
	// ShortOfCapacity reports whether long-running tasks wait for room, which vacated workers could provide.
	ShortOfCapacity() bool
}

// Order is an order to take a VM down for its maintenance.
type Order struct {
	Window oleanderline.WindowID
	VM     oleanderline.VMID
}

// Decision is the result of one call of Decide.
type Decision struct {
	Vacate []oleanderline.WorkerID // all workers that have to be vacated
	Orders []Order                 // orders to send now
}

// phase is the progress of a VM in its window.
type phase int

const (
	waiting phase = iota
	vacating
	intended  // the order is sent once the intention is stored
	inherited // an earlier leader may have sent an order, which may still take effect
	ordered   // the order was sent and has no answer yet
	accepted  // the order was accepted: the VM is down or back already
	finished
)

// mayBeDown reports whether a VM in the phase counts as down against MaxDown.
func (p phase) mayBeDown() bool {
	return p == intended || p == inherited || p == ordered || p == accepted
}

// vm is the state of one VM in a window.
type vm struct {
	phase  phase
	since  time.Time             // when the phase began, or the order was last sent
	worker oleanderline.WorkerID // the worker on the VM when vacating began
	// missingSince is since when the lists of VMs lack it; zero if the newest one has it.
	missingSince time.Time
}

// window is a maintenance window with its progress.
type window struct {
	oleanderline.MaintenanceWindow
	vms      map[oleanderline.VMID]*vm
	complete bool
}

// Coordinator schedules the maintenance of the VMs in maintenance windows.
type Coordinator struct {
	vmDuration time.Duration // duration of the maintenance of a VM
	windows    map[oleanderline.WindowID]*window
	stored     map[oleanderline.WindowID]Progress // progress stored by earlier leaders, used by Add
	dirty      map[oleanderline.WindowID]bool     // windows with progress that Changes has not returned yet
}

// Progress is the stored progress of a window.
type Progress struct {
	Done []oleanderline.VMID `json:"done,omitempty"`
	// Ordered are the VMs for which an order may have been sent that has no answer. A later leader counts them as down.
	Ordered  []oleanderline.VMID `json:"sent,omitempty"`
	Complete bool                `json:"complete,omitempty"`
}

// New returns a coordinator. vmDuration is the duration of the maintenance of a VM.
func New(vmDuration time.Duration) *Coordinator {
	return &Coordinator{
		vmDuration: vmDuration,
		windows:    map[oleanderline.WindowID]*window{},
		stored:     map[oleanderline.WindowID]Progress{},
		dirty:      map[oleanderline.WindowID]bool{},
	}
}

// Restore sets the progress of a window that an earlier leader has stored. It has to be called before Add.
func (c *Coordinator) Restore(id oleanderline.WindowID, progress Progress) { c.stored[id] = progress }

// Add adds a window that operators have requested. It does nothing if the window is known.
func (c *Coordinator) Add(requested oleanderline.MaintenanceWindow) {
	if c.windows[requested.ID] != nil {
		return
	}
	stored := c.stored[requested.ID]
	w := &window{MaintenanceWindow: requested, vms: map[oleanderline.VMID]*vm{}, complete: stored.Complete}
	for _, id := range requested.VMs {
		w.vms[id] = &vm{}
	}
	for _, id := range stored.Ordered {
		if v := w.vms[id]; v != nil {
			v.phase = inherited
		}
	}
	for _, id := range stored.Done {
		if v := w.vms[id]; v != nil {
			v.phase = finished
		}
	}
	c.windows[requested.ID] = w
	c.dirty[requested.ID] = true
}

// Open reports whether any window is incomplete.
func (c *Coordinator) Open() bool {
	for _, w := range c.windows {
		if !w.complete {
			return true
		}
	}
	return false
}

// Changes returns the progress of the windows that have changed since the last call. The caller stores it and then calls
// Stored.
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

// Stored marks the progress of a window as stored, and returns the orders that may be sent now.
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

// Decide returns the workers to vacate and the orders to send. list is the platform's list of VMs.
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

// advance updates the phases of a window's VMs, and adds its orders and the workers to vacate to d.
func (c *Coordinator) advance(w *window, known map[oleanderline.VMID]oleanderline.FleetVM, cell Cell, now time.Time, d *Decision) {
	down, vacatingCount, unfinished := c.count(w, known, now)
	if unfinished == 0 {
		w.complete = true
		c.dirty[w.ID] = true
		return
	}
	shortOfCapacity := cell.ShortOfCapacity()
	for _, id := range w.VMs {
		v, listed := w.vms[id], known[id]
		if shortOfCapacity && v.phase == vacating && !cell.Empty(v.worker) {
			v.phase = waiting
			vacatingCount--
		}
		if v.phase == waiting && !shortOfCapacity && down+vacatingCount < vacateAhead*w.MaxDown && listed.State == oleanderline.FleetUp && !slices.Contains(d.Vacate, listed.Worker) {
			*v = vm{phase: vacating, since: now, worker: listed.Worker}
			vacatingCount++
		}
		switch v.phase {
		case vacating:
			if listed.Worker != "" && v.worker != listed.Worker {
				v.worker, v.since = listed.Worker, now // a new worker has started on the VM
			}
			d.Vacate = append(d.Vacate, v.worker)
			if down < w.MaxDown && c.mayGoDown(w, v, cell, now) {
				v.phase = intended
				cell.TakeDown(v.worker)
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
				cell.TakeDown(v.worker)
				v.phase, v.since = ordered, now
				d.Orders = append(d.Orders, Order{Window: w.ID, VM: id})
			}
		case ordered:
			d.Vacate = append(d.Vacate, v.worker)
			if now.Sub(v.since) >= repeatInterval {
				v.since = now
				d.Orders = append(d.Orders, Order{Window: w.ID, VM: id})
			}
		}
	}
}

// count returns how many VMs of a window are down or may be down, how many are being vacated, and how many are not finished.
// It marks VMs as finished that are back after their maintenance or no longer exist.
func (c *Coordinator) count(w *window, known map[oleanderline.VMID]oleanderline.FleetVM, now time.Time) (down, vacatingCount, unfinished int) {
	for _, id := range w.VMs {
		v := w.vms[id]
		listed, exists := known[id]
		switch {
		case v.goneAt(exists, now) && v.phase != finished:
			v.phase = finished
			c.dirty[w.ID] = true
		case v.phase == accepted && listed.State == oleanderline.FleetUp && now.Sub(v.since) >= c.vmDuration+returnSlack:
			v.phase = finished
		}
		switch {
		case v.phase.mayBeDown() || (exists && listed.State == oleanderline.FleetMaintenance):
			down++
		case v.phase == vacating:
			vacatingCount++
		}
		if v.phase != finished {
			unfinished++
		}
	}
	return down, vacatingCount, unfinished
}

// goneAt records whether the newest list has the VM, and reports whether the VM no longer exists: lists have lacked it for goneAfter.
func (v *vm) goneAt(listed bool, now time.Time) bool {
	switch {
	case listed:
		v.missingSince = time.Time{}
	case v.missingSince.IsZero():
		v.missingSince = now
	}
	return !listed && now.Sub(v.missingSince) >= goneAfter
}

// mayGoDown reports whether a VM may be taken down: it is empty, or its time to vacate has passed and all its tasks may be
// ended.
func (c *Coordinator) mayGoDown(w *window, v *vm, cell Cell, now time.Time) bool {
	return cell.Empty(v.worker) || (now.Sub(v.since) >= w.vacateTime(c.vmDuration) && cell.MayStopAll(v.worker))
}

// vacateTime returns how long tasks may take to move off a VM, so that the maintenance of all VMs fits into the window.
func (w *window) vacateTime(vmDuration time.Duration) time.Duration {
	turns := (len(w.VMs) + w.MaxDown - 1) / max(1, w.MaxDown)
	turn := time.Duration(plannedShare*float64(w.Duration)) / time.Duration(max(1, turns))
	return min(max(vacateAhead*turn-vmDuration-returnSlack, minVacateTime), maxVacateTime)
}

// HandleResult processes the outcome of an order.
func (c *Coordinator) HandleResult(order Order, result Result, cell Cell, now time.Time) {
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
		cell.Spare(v.worker)
		v.phase = finished
		c.dirty[w.ID] = true
	case NotDone:
		cell.Spare(v.worker)
		v.phase = waiting
		c.dirty[w.ID] = true
	case Unknown: // advance repeats the order
	}
}

// Result is the outcome of an order.
type Result int

// Results of orders.
const (
	Accepted Result = iota
	NotDone         // the order had no effect and may be sent again
	Refused         // the VM does not belong to the window or no longer exists
	Unknown         // the answer was lost, so the order may have had an effect
)
