package maintenance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const takes = 2 * time.Second

// lateOrder is an order without an answer that is carried out later.
type lateOrder struct {
	order Order
	term  int
	at    time.Time
}

// fleet plays the platform: VMs that go down on an order and are back later with another worker.
type fleet struct {
	downUntil map[oleanderline.VMID]time.Time
	term      int                       // of the leader
	seen      map[oleanderline.VMID]int // the newest term that has given an order for a VM
	late      []lateOrder
	random    *rand.Rand
	had       map[oleanderline.VMID]bool
	vms       []oleanderline.VMID
	busy      map[oleanderline.WorkerID]bool
	protected map[oleanderline.WorkerID]bool
	crowded   bool
	stored    Progress
	now       time.Time
	mostDown  int
}

func newFleet(count int) *fleet {
	f := &fleet{
		downUntil: map[oleanderline.VMID]time.Time{}, had: map[oleanderline.VMID]bool{}, now: time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(1, 2)), seen: map[oleanderline.VMID]int{}, busy: map[oleanderline.WorkerID]bool{}, protected: map[oleanderline.WorkerID]bool{},
	}
	for i := range count {
		f.vms = append(f.vms, oleanderline.VMID(fmt.Sprintf("m%d", i)))
	}
	return f
}

func (f *fleet) worker(id oleanderline.VMID) oleanderline.WorkerID {
	if f.had[id] {
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

func (f *fleet) ShortOfCapacity() bool { return f.crowded }

// delay is that of an order that is carried out late.
func (f *fleet) delay() time.Duration {
	return time.Duration(2000+f.random.IntN(10000)) * time.Millisecond
}

// pass lets time pass, in which late orders are carried out unless a newer leader has given one for the VM.
func (f *fleet) pass(t *testing.T, d time.Duration, atOnce int) {
	f.now = f.now.Add(d)
	var rest []lateOrder
	for _, l := range f.late {
		switch {
		case f.now.Before(l.at):
			rest = append(rest, l)
		case l.term >= f.seen[l.order.VM]:
			f.carryOut(t, l.order, atOnce)
		}
	}
	f.late = rest
}

func (f *fleet) carryOut(t *testing.T, order Order, atOnce int) {
	f.seen[order.VM] = max(f.seen[order.VM], f.term)
	if f.had[order.VM] {
		return
	}
	down := 0
	for _, until := range f.downUntil {
		if f.now.Before(until) {
			down++
		}
	}
	require.Less(t, down, atOnce, "more VMs down at once than the window allows")
	f.mostDown = max(f.mostDown, down+1)
	f.had[order.VM] = true
	f.downUntil[order.VM] = f.now.Add(takes)
}

// play lets a window run for at most limit and returns when it was complete.
func (f *fleet) play(t *testing.T, c *Coordinator, atOnce int, limit time.Duration, result func(Order) Result) time.Duration {
	began := f.now
	for f.now.Sub(began) < limit {
		d := c.Decide(f.list(), f, f.now)
		orders := d.Orders
		for id, progress := range c.Changes() {
			f.stored = progress
			orders = append(orders, c.Stored(id, progress, f.now)...)
		}
		for _, order := range orders {
			got := result(order)
			switch got {
			case Accepted, Unknown:
				f.carryOut(t, order, atOnce)
			case carriedOutLate:
				f.late = append(f.late, lateOrder{order, f.term, f.now.Add(f.delay())})
				got = Unknown
			}
			c.Answered(order, got, f.now)
		}
		if !c.Open() {
			return f.now.Sub(began)
		}
		f.pass(t, 100*time.Millisecond, atOnce)
	}
	return limit
}

func accept(Order) Result { return Accepted }

// carriedOutLate is the result of an order that gets no answer and is carried out seconds later.
const carriedOutLate Result = -1

// Guards against a window that ends late, and against more VMs down at once than it allows.
func TestWindowEndsInTime(t *testing.T) {
	f, c := newFleet(15), New(takes)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, AtOnce: 4})
	for i, id := range f.vms {
		f.busy[f.worker(id)] = i%2 == 0 // half of them never become empty
	}
	require.Less(t, f.play(t, c, 4, time.Minute, accept), 20*time.Second)
	require.Len(t, f.had, 15)
	require.Equal(t, 4, f.mostDown)
	require.Len(t, f.stored.Done, 15)
}

// Guards against a VM that is taken down while that would end more lasting tasks of a step than may be missing.
func TestProtectedTasksKeepTheirVM(t *testing.T) {
	f, c := newFleet(2), New(takes)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 10 * time.Second, AtOnce: 2})
	f.busy["m0"], f.protected["m0"] = true, true
	require.Equal(t, time.Minute, f.play(t, c, 2, time.Minute, accept))
	require.False(t, f.had["m0"])
	require.True(t, f.had["m1"])
	f.busy["m0"] = false
	f.play(t, c, 2, time.Minute, accept)
	require.False(t, c.Open())
}

// Guards against workers that are kept free for maintenance while lasting tasks wait for room.
func TestCrowdedCellKeepsItsWorkers(t *testing.T) {
	f, c := newFleet(4), New(takes)
	c.Add(oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 10 * time.Second, AtOnce: 1})
	f.busy["m0"], f.busy["m1"] = true, true
	require.Len(t, c.Decide(f.list(), f, f.now).Vacate, 2)
	f.crowded = true
	require.Empty(t, c.Decide(f.list(), f, f.now).Vacate)
	f.crowded = false
	require.Less(t, f.play(t, c, 1, time.Minute, accept), time.Minute)
}

// Guards against windows that break a bound, or are called complete too early, when answers are lost or refused, orders are
// carried out late and leaders change.
func TestLostAnswersAndNewLeaders(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		f, c := newFleet(10), New(takes)
		atOnce := 1 + int(seed%3)
		asked := oleanderline.MaintenanceWindow{ID: 1, VMs: f.vms, Duration: 20 * time.Second, AtOnce: atOnce}
		c.Add(asked)
		for range 5 {
			f.play(t, c, atOnce, 3*time.Second, func(Order) Result {
				return []Result{Accepted, Accepted, Unknown, NotDone, carriedOutLate}[random.IntN(5)]
			})
			f.pass(t, 3*time.Second, atOnce) // a new leader gives no orders at once
			f.term++
			for _, id := range f.vms {
				kept := random.IntN(3) == 0
				f.busy[f.worker(id)], f.protected[f.worker(id)] = kept, kept
			}
			c = New(takes)
			c.Restore(1, f.stored)
			c.Add(asked)
		}
		clear(f.busy)
		f.play(t, c, atOnce, 2*time.Minute, accept)
		f.pass(t, 12*time.Second, atOnce)
		require.False(t, c.Open(), "seed %d", seed)
		require.Len(t, f.had, 10, "seed %d", seed)
	}
}

// Guards against a window that never ends because one of its VMs has gone.
func TestVMsThatHaveGoneAreSkipped(t *testing.T) {
	f, c := newFleet(2), New(takes)
	c.Add(oleanderline.MaintenanceWindow{ID: 7, VMs: append(f.vms, "gone"), Duration: 10 * time.Second, AtOnce: 1})
	require.Less(t, f.play(t, c, 1, time.Minute, accept), 10*time.Second)
}
