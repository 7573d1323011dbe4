package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
)

// worker is the state of one worker of the shard. The tasks are read from the stream; the fields of ownerWorkerState are
// reset when the ownership changes.
type worker struct {
	id    oleanderline.WorkerID
	tasks []*task // assigned tasks, in order of assignment

	vm     oleanderline.VM
	listed bool // in the newest VM list

	busy   bool // a call is outstanding
	callID uint64
	call   Call

	ownerWorkerState
}

// ownerWorkerState is the state of a worker that only the owner has.
type ownerWorkerState struct {
	// fenced means that the worker has answered a renewal under this owner's term, so that it refuses earlier owners and its
	// inventory is known.
	fenced           bool
	absent           bool      // a VM list that was requested after the claim lacks the worker
	leaseCallAt      time.Time // when a call that extends leases was last answered or failed
	renewedAt        time.Time // when a renewal was last answered
	failedAt         time.Time
	failures         int // consecutive failed calls
	retryAt          time.Time
	committed        oleanderline.Size
	incoming         []*task  // tasks whose assign record is not yet read back
	orphans          []orphan // leases of attempts that the stream does not assign to the worker
	outcomes         []oleanderline.Outcome
	usageRequestedAt time.Time // when the newest usage report was requested
	modelUpdatedAt   time.Time // time of the newest report that the model was updated from
	guard            *interference.Guard
	urgentUntil      time.Time // until then, tasks that wait here do not start, so that an urgent task can
}

// orphan is an attempt that runs at a worker although it is not assigned to it any more.
type orphan struct {
	oleanderline.AttemptKey
	size    oleanderline.Size
	retryAt time.Time
	tries   int
}

func (w *worker) reachable() bool { return w.failures == 0 }

func (w *worker) freeCapacity() oleanderline.Size { return w.vm.Size.Sub(w.committed) }

func (w *worker) queueLength() int {
	n := 0
	w.eachQueued(func(*task) { n++ })
	return n
}

// eachQueued calls visit for the tasks that wait at the worker for free capacity.
func (w *worker) eachQueued(visit func(*task)) {
	for _, t := range w.tasks {
		if !t.reserved && !t.ended && t.pending == "" {
			visit(t)
		}
	}
	for _, t := range w.incoming {
		if !t.reserved {
			visit(t)
		}
	}
}

// workerTable holds the workers of the shard.
type workerTable struct {
	byID   map[oleanderline.WorkerID]*worker
	order  []*worker                        // by id, so that equal events yield equal actions
	drains map[oleanderline.WorkerID]string // description of the rule that drains each worker
}

func newWorkerTable() workerTable {
	return workerTable{byID: map[oleanderline.WorkerID]*worker{}}
}

func (wt *workerTable) getOrAdd(id oleanderline.WorkerID) *worker {
	if w := wt.byID[id]; w != nil {
		return w
	}
	w := &worker{id: id}
	wt.byID[id] = w
	at, _ := slices.BinarySearchFunc(wt.order, id, func(w *worker, id oleanderline.WorkerID) int {
		return compareIDs(w.id, id)
	})
	wt.order = slices.Insert(wt.order, at, w)
	return w
}

func compareIDs(a, b oleanderline.WorkerID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// assign adds a task to its worker after the assign record was read.
func (wt *workerTable) assign(t *task) {
	wt.removeIncoming(t)
	w := wt.getOrAdd(t.worker)
	w.tasks = append(w.tasks, t)
}

// addIncoming adds a task to the worker's incoming tasks, whose assign record is in flight.
func (wt *workerTable) addIncoming(t *task, w *worker) {
	t.target = w.id
	w.incoming = append(w.incoming, t)
}

// removeIncoming removes a task from the incoming tasks of its target worker.
func (wt *workerTable) removeIncoming(t *task) {
	w := wt.byID[t.target]
	t.target = ""
	if w == nil {
		return
	}
	if at := slices.Index(w.incoming, t); at >= 0 {
		w.incoming = slices.Delete(w.incoming, at, at+1)
	}
}

// release removes a task from its worker and returns its reserved capacity.
func (wt *workerTable) release(t *task) {
	wt.removeIncoming(t)
	wt.unreserve(t)
	w := wt.byID[t.worker]
	if w == nil {
		return
	}
	if at := slices.Index(w.tasks, t); at >= 0 {
		w.tasks = slices.Delete(w.tasks, at, at+1)
	}
}

// reserve commits capacity of a worker to a task.
func (wt *workerTable) reserve(t *task, w *worker) {
	if t.reserved {
		return
	}
	t.reserved, t.reservedOn = true, w.id
	w.committed = w.committed.Add(t.size())
}

func (wt *workerTable) unreserve(t *task) {
	if !t.reserved {
		return
	}
	t.reserved = false
	w := wt.getOrAdd(t.reservedOn)
	w.committed = w.committed.Sub(t.size())
}

func (wt *workerTable) dropTasks() {
	for _, w := range wt.order {
		w.tasks = nil
	}
}

// resetOwnerState clears the state that only an owner has. Outstanding calls stay outstanding.
func (wt *workerTable) resetOwnerState(assumeKnown bool) {
	for _, w := range wt.order {
		w.ownerWorkerState = ownerWorkerState{fenced: assumeKnown}
	}
}

// listed returns the number of workers in the newest VM list.
func (wt *workerTable) listed() int {
	n := 0
	for _, w := range wt.order {
		if w.listed {
			n++
		}
	}
	return n
}

// draining reports whether batch tasks must leave the worker.
func (wt *workerTable) draining(w *worker) bool {
	return wt.drainReason(w) != ""
}

// drainReason returns the rule, or the state in the VM list, for which batch tasks must leave the worker, or "" if they may
// stay.
func (wt *workerTable) drainReason(w *worker) string {
	if rule := wt.drains[w.id]; rule != "" {
		return rule
	}
	if w.listed && w.vm.State == oleanderline.VMLeaving {
		return "the VM list calls the worker leaving"
	}
	return ""
}

// usable reports whether new tasks may be placed on the worker.
func (wt *workerTable) usable(w *worker) bool {
	return w.fenced && w.listed && w.reachable() && !wt.draining(w)
}

func (c *Core) setVMs(e VMs) {
	c.largest = e.Largest
	defer func() { c.health.SetSize(c.workers.listed()) }()
	c.quotas.SetShards(e.Shards)
	for _, w := range c.workers.order {
		w.listed = false
	}
	for _, vm := range e.Workers {
		w := c.workers.getOrAdd(oleanderline.WorkerID(vm.ID))
		w.vm, w.listed, w.absent = vm, true, false
	}
	if !c.owning || !e.RequestedAt.After(c.claimedAt) {
		return
	}
	for _, w := range c.workers.order {
		w.absent = !w.listed
	}
	c.workers.order = slices.DeleteFunc(c.workers.order, func(w *worker) bool {
		unused := w.absent && len(w.tasks) == 0 && !w.busy && w.committed == oleanderline.Size{}
		if unused {
			delete(c.workers.byID, w.id)
		}
		return unused
	})
}
