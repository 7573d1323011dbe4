package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// testVMDuration is the duration of the maintenance of a VM.
const testVMDuration = 2 * time.Second

// lateOrder is an order without an answer that takes effect later.
type lateOrder struct {
	order Order
	term  int       // of the leader that sent it
	at    time.Time // when it takes effect
}

// fleet simulates the platform and the cell. A VM goes down on an order and comes back later with another worker.
type fleet struct {
	downUntil       map[oleanderline.VMID]time.Time
	term            int                       // of the leader
	newestTerm      map[oleanderline.VMID]int // newest term in which an order for a VM was carried out
	late            []lateOrder
	random          *rand.Rand
	maintained      map[oleanderline.VMID]bool // VMs that have had their maintenance or are down for it
	vms             []oleanderline.VMID
	busy            map[oleanderline.WorkerID]bool
	protected       map[oleanderline.WorkerID]bool
	shortOfCapacity bool
	stored          Progress
	now             time.Time
	maxDown         int
}

func newFleet(count int) *fleet {
	f := &fleet{
		downUntil: map[oleanderline.VMID]time.Time{}, maintained: map[oleanderline.VMID]bool{}, now: time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(1, 2)), newestTerm: map[oleanderline.VMID]int{}, busy: map[oleanderline.WorkerID]bool{}, protected: map[oleanderline.WorkerID]bool{},
	}
	for i := range count {
		f.vms = append(f.vms, oleanderline.VMID(fmt.Sprintf("m%d", i)))
	}
	return f
}

// worker returns the worker on a VM, which has a new id after the maintenance.
func (f *fleet) worker(id oleanderline.VMID) oleanderline.WorkerID {
	if f.maintained[id] {
		return oleanderline.WorkerID(id) + "-new"
	}
	return oleanderline.WorkerID(id)
}

func (f *fleet) list() []oleanderline.FleetVM {
	var list []oleanderline.FleetVM
	for _, id := range f.vms {
		v := oleanderline.FleetVM{ID: id, Worker: f.worker(id)}
		if f.now.Before(f.downUntil[id]) {
			v.State = oleanderline.FleetMaintenance
		}
		list = append(list, v)
	}
	return list
}

func (f *fleet) Empty(id oleanderline.WorkerID) bool      { return !f.busy[id] }
func (f *fleet) MayStopAll(id oleanderline.WorkerID) bool { return !f.protected[id] }

func (f *fleet) TakeDown(oleanderline.WorkerID) {}

func (f *fleet) Spare(oleanderline.WorkerID) {}

func (f *fleet) ShortOfCapacity() bool { return f.shortOfCapacity }

// delay returns the random delay after which a late order takes effect.
func (f *fleet) delay() time.Duration {
	return time.Duration(2000+f.random.IntN(10000)) * time.Millisecond
}

// advance advances the clock. Late orders that are due take effect, unless an order of a newer leader for the VM has.
func (f *fleet) advance(t *testing.T, d time.Duration, maxDown int) {
	f.now = f.now.Add(d)
	var pending []lateOrder
	for _, l := range f.late {
		switch {
		case f.now.Before(l.at):
			pending = append(pending, l)
		case l.term >= f.newestTerm[l.order.VM]:
			f.carryOut(t, l.order, maxDown)
		}
	}
	f.late = pending
}

// carryOut takes a VM down, unless it has had its maintenance, and checks the limit of the window.
func (f *fleet) carryOut(t *testing.T, order Order, maxDown int) {
	f.newestTerm[order.VM] = max(f.newestTerm[order.VM], f.term)
	if f.maintained[order.VM] {
		return
	}
	down := 0
	for _, until := range f.downUntil {
		if f.now.Before(until) {
			down++
		}
	}
	require.Less(t, down, maxDown, "more VMs down at once than the window allows")
	f.maxDown = max(f.maxDown, down+1)
	f.maintained[order.VM] = true
	f.downUntil[order.VM] = f.now.Add(testVMDuration)
}

// runWindow runs a window until it is complete, for at most limit, and returns how long that took. result decides about the
// answer to each order.
func (f *fleet) runWindow(t *testing.T, c *Coordinator, maxDown int, limit time.Duration, result func(Order) Result) time.Duration {
	began := f.now
	for f.now.Sub(began) < limit {
		d := c.Decide(f.list(), f, f.now)
		orders := d.Orders
		for id, progress := range c.Changes() {
			f.stored = progress
			orders = append(orders, c.Stored(id, progress, f.now)...)
		}
		for _, order := range orders {
			answer := result(order)
			switch answer {
			case Accepted, Unknown:
				f.carryOut(t, order, maxDown)
			case carriedOutLate:
				f.late = append(f.late, lateOrder{order, f.term, f.now.Add(f.delay())})
				answer = Unknown
			}
			c.HandleResult(order, answer, f, f.now)
		}
		if !c.Open() {
			return f.now.Sub(began)
		}
		f.advance(t, 100*time.Millisecond, maxDown)
	}
	return limit
}

func accept(Order) Result { return Accepted }

// carriedOutLate is the result of an order that has no answer and takes effect seconds later.
const carriedOutLate Result = -1

// Guards against a window that is not complete in time, and against more VMs down at once than it allows.
func TestWindowEndsInTime(t *testing.T) {
	f, c := newFleet(15), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, MaxDown: 4})
	for i, id := range f.vms {
		f.busy[f.worker(id)] = i%2 == 0 // half of the workers never become empty
	}
	require.Less(t, f.runWindow(t, c, 4, time.Minute, accept), 20*time.Second)
	require.Len(t, f.maintained, 15)
	require.Equal(t, 4, f.maxDown)
	require.Len(t, f.stored.Done, 15)
}

// Guards against a VM that is taken down although this makes more long-running tasks of a step unavailable than allowed.
func TestProtectedTasksKeepTheirVM(t *testing.T) {
	f, c := newFleet(2), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 10 * time.Second, MaxDown: 2})
	f.busy["m0"], f.protected["m0"] = true, true
	require.Equal(t, time.Minute, f.runWindow(t, c, 2, time.Minute, accept))
	require.False(t, f.maintained["m0"])
	require.True(t, f.maintained["m1"])
	f.busy["m0"] = false
	f.runWindow(t, c, 2, time.Minute, accept)
	require.False(t, c.Open())
}

// Guards against workers that are kept empty for maintenance while long-running tasks wait for room.
func TestNoWorkerIsVacatedWhileShortOfCapacity(t *testing.T) {
	f, c := newFleet(4), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 10 * time.Second, MaxDown: 1})
	f.busy["m0"], f.busy["m1"] = true, true
	require.Len(t, c.Decide(f.list(), f, f.now).Vacate, 2)
	f.shortOfCapacity = true
	require.Empty(t, c.Decide(f.list(), f, f.now).Vacate)
	f.shortOfCapacity = false
	require.Less(t, f.runWindow(t, c, 1, time.Minute, accept), time.Minute)
}

// Guards against windows that exceed MaxDown, or count as complete too early, when answers are lost, orders are not carried
// out or take effect late, and leaders change.
func TestLostAnswersAndNewLeaders(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f, c := newFleet(10), New(testVMDuration)
		maxDown := 1 + int(seed%3)
		requested := oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, MaxDown: maxDown}
		c.Add(requested)
		for range 5 {
			f.runWindow(t, c, maxDown, 3*time.Second, func(Order) Result {
				return []Result{Accepted, Accepted, Unknown, NotDone, carriedOutLate}[random.IntN(5)]
			})
			f.advance(t, 3*time.Second, maxDown) // a new leader sends no orders for some time
			f.term++
			for _, id := range f.vms {
				busy := random.IntN(3) == 0
				f.busy[f.worker(id)], f.protected[f.worker(id)] = busy, busy
			}
			c = New(testVMDuration)
			c.Restore(1, f.stored)
			c.Add(requested)
		}
		clear(f.busy)
		f.runWindow(t, c, maxDown, 2*time.Minute, accept)
		f.advance(t, 12*time.Second, maxDown)
		require.False(t, c.Open(), "seed %d", seed)
		require.Len(t, f.maintained, 10, "seed %d", seed)
	}
}

// Guards against a window that is never complete because one of its VMs no longer exists.
func TestMissingVMsAreSkipped(t *testing.T) {
	f, c := newFleet(2), New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 7, VMs: append(f.vms, "gone"), Duration: 10 * time.Second, MaxDown: 1})
	require.Less(t, f.runWindow(t, c, 1, time.Minute, accept), 10*time.Second)
}

// oneStep is a cell in which each worker runs one task of a step of which one task may be unavailable.
type oneStep struct {
	taken map[oleanderline.WorkerID]bool
}

func (s oneStep) Empty(oleanderline.WorkerID) bool { return false }

func (s oneStep) MayStopAll(id oleanderline.WorkerID) bool {
	others := len(s.taken)
	if s.taken[id] {
		others--
	}
	return others == 0
}

func (s oneStep) ShortOfCapacity() bool             { return false }
func (s oneStep) TakeDown(id oleanderline.WorkerID) { s.taken[id] = true }
func (s oneStep) Spare(id oleanderline.WorkerID)    { delete(s.taken, id) }

// Guards against two VMs that are taken down at once although only one of their tasks may be unavailable: each was allowed by itself.
func TestVMsAreNotTakenDownTogetherBeyondTheirTasks(t *testing.T) {
	now := time.Unix(1000, 0)
	cell := oneStep{taken: map[oleanderline.WorkerID]bool{}}
	list := []oleanderline.FleetVM{{ID: "m0", Worker: "w0"}, {ID: "m1", Worker: "w1"}, {ID: "m2", Worker: "w2"}}
	c := New(testVMDuration)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: []oleanderline.VMID{"m0", "m1", "m2"}, MaxDown: 3, Duration: 30 * time.Second})
	c.Decide(list, cell, now)
	now = now.Add(maxVacateTime)
	c.Decide(list, cell, now)
	require.Len(t, cell.taken, 1)
	orders := c.Stored(1, c.Changes()[1], now)
	require.Len(t, orders, 1)

	c.HandleResult(orders[0], NotDone, cell, now)
	require.Empty(t, cell.taken, "a VM that stays up counts no longer")
}
