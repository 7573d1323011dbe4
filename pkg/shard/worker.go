package shard

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/interference"
)

// worker is what the core knows about one worker of the shard. The tasks come from the stream; the rest is reset when
// the ownership changes.
type worker struct {
	id    oleanderline.WorkerID
	tasks []*task // assigned, in order of assignment

	vm     oleanderline.VM
	listed bool // in the newest VM list

	busy   bool // a call is outstanding
	callID uint64
	call   Call

	heldWorker
}

// heldWorker is what the owner alone knows of a worker.
type heldWorker struct {
	// fenced means that the worker has answered a renewal under the own term, so that it refuses earlier owners and its
	// inventory is known.
	fenced    bool
	absent    bool      // a VM list asked for after the claim lacks it
	sentAt    time.Time // when a call that extends leases was last outstanding
	renewedAt time.Time // when a renewal was last answered
	failedAt  time.Time
	failures  int // calls that failed in a row
	retryAt   time.Time
	committed oleanderline.Size
	incoming  []*task  // assigned by records that are not yet read back
	orphans   []orphan // leases that the stream does not know
	outcomes  []oleanderline.Outcome
	usageAt   time.Time // when the newest usage report was asked for
	learnedAt time.Time // of the newest report that was learned from
	guard     *interference.Guard
	claimedTo time.Time // until then an urgent task goes before the tasks that wait here
}

// orphan is an attempt that runs although it is not assigned to the worker any more.
type orphan struct {
	oleanderline.AttemptKey
	size    oleanderline.Size
	retryAt time.Time
	tries   int
}

func (w *worker) reachable() bool { return w.failures == 0 }

func (w *worker) free() oleanderline.Size { return w.vm.Size.Sub(w.committed) }

func (w *worker) ahead() int {
	n := 0
	w.eachAhead(func(*task) { n++ })
	return n
}

// eachAhead visits the tasks that wait at the worker for room.
func (w *worker) eachAhead(visit func(*task)) {
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
	order  []*worker                        // by id, so that equal events give equal actions
	drains map[oleanderline.WorkerID]string // the rule that drains a worker
}

func newWorkerTable() workerTable {
	return workerTable{byID: map[oleanderline.WorkerID]*worker{}}
}

func (wt *workerTable) get(id oleanderline.WorkerID) *worker {
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

// assign enters an assignment that was read from the stream.
func (wt *workerTable) assign(t *task) {
	wt.arrived(t)
	w := wt.get(t.worker)
	w.tasks = append(w.tasks, t)
}

// expect enters an assignment whose record is on its way.
func (wt *workerTable) expect(t *task, w *worker) {
	t.target = w.id
	w.incoming = append(w.incoming, t)
}

// arrived ends the wait for the record of an assignment.
func (wt *workerTable) arrived(t *task) {
	w := wt.byID[t.target]
	t.target = ""
	if w == nil {
		return
	}
	if at := slices.Index(w.incoming, t); at >= 0 {
		w.incoming = slices.Delete(w.incoming, at, at+1)
	}
}

// release removes a task from its worker and gives its room back.
func (wt *workerTable) release(t *task) {
	wt.arrived(t)
	wt.unreserve(t)
	w := wt.byID[t.worker]
	if w == nil {
		return
	}
	if at := slices.Index(w.tasks, t); at >= 0 {
		w.tasks = slices.Delete(w.tasks, at, at+1)
	}
}

// reserve commits room of a worker to a task.
func (wt *workerTable) reserve(t *task, w *worker) {
	if t.reserved {
		return
	}
	t.reserved, t.room = true, w.id
	w.committed = w.committed.Add(t.size())
}

func (wt *workerTable) unreserve(t *task) {
	if !t.reserved {
		return
	}
	t.reserved = false
	w := wt.get(t.room)
	w.committed = w.committed.Sub(t.size())
}

func (wt *workerTable) dropTasks() {
	for _, w := range wt.order {
		w.tasks = nil
	}
}

// resetOwned forgets what only an owner knows. Calls that are outstanding stay so.
func (wt *workerTable) resetOwned(assumeKnown bool) {
	for _, w := range wt.order {
		w.heldWorker = heldWorker{fenced: assumeKnown}
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

// drainReason names the rule, or the state in the VM list, for which batch tasks must leave the worker; "" if they need
// not.
func (wt *workerTable) drainReason(w *worker) string {
	if rule := wt.drains[w.id]; rule != "" {
		return rule
	}
	if w.listed && w.vm.State == oleanderline.VMLeaving {
		return "the VM list calls the worker leaving"
	}
	return ""
}

// usable reports whether the worker accepts new tasks.
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
		w := c.workers.get(oleanderline.WorkerID(vm.ID))
		w.vm, w.listed, w.absent = vm, true, false
	}
	if !c.owning || !e.Asked.After(c.claimedAt) {
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
