package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Bounds of the messages between entries in this test. They keep an entry that is alive from being taken for lost.
const (
	beatEvery   = 200 * time.Millisecond
	beatTimeout = time.Second
	beatDelay   = 300 * time.Millisecond
	lostInARow  = 2
	// runBound is within the drain time: a minion goes on running what a crashed entry has sent.
	runBound = 850 * time.Millisecond
)

type slotKey struct {
	minion oleanderline.MinionID
	slot   int
}

// fleet is a group of entries that share minions, with heartbeats and loans between them.
type fleet struct {
	events
	rand    *rand.Rand
	drain   time.Duration
	twice   []string // uses of a slot that another entry uses
	entries []*fleetEntry
	users   map[slotKey]oleanderline.VMID
	shared  int // bindings to borrowed slots
	sent    int
}

type fleetEntry struct {
	fleet  *fleet
	id     oleanderline.VMID
	core   *Core
	view   *member.View
	next   RequestID
	alive  bool
	drains bool
	life   int
	missed map[oleanderline.VMID]int
	rate   int
}

func (f *fleet) launch(e *fleetEntry) {
	e.life++
	e.alive, e.drains = true, false
	e.missed = map[oleanderline.VMID]int{}
	settings := DefaultSettings()
	settings.Slots.Drain = f.drain
	e.core = New(WithSettings(settings), WithRand(f.rand))
	e.view = member.NewView(member.Member{ID: e.id, Incarnation: f.now.UnixNano()}, beatTimeout)
	e.core.SetMembers(e.id, e.view.Eligible(f.now), f.now, nil)
	e.core.SetMinions(testMinions(3), f.now, nil)
	e.rate = f.rand.IntN(8)
	e.loop(beatEvery, e.beat)
	e.loop(10*time.Millisecond, e.tick)
}

// loop repeats an action for as long as the process lives.
func (e *fleetEntry) loop(every time.Duration, action func()) {
	life := e.life
	var again func()
	again = func() {
		if e.alive && e.life == life {
			action()
			e.fleet.after(every, again)
		}
	}
	e.fleet.after(time.Duration(e.fleet.rand.Int64N(int64(every))), again)
}

// deliver runs an action at a peer after a random delay, unless the peer's process has ended.
func (e *fleetEntry) deliver(peer *fleetEntry, action func()) {
	life := peer.life
	e.fleet.after(time.Duration(e.fleet.rand.Int64N(int64(beatDelay))), func() {
		if peer.alive && peer.life == life {
			action()
		}
	})
}

func (e *fleetEntry) beat() {
	f := e.fleet
	said, self := e.core.Statement(f.now), e.view.Self()
	for _, peer := range f.entries {
		if peer == e || !peer.alive {
			continue
		}
		if e.missed[peer.id] < lostInARow && f.rand.IntN(4) == 0 {
			e.missed[peer.id]++
			continue
		}
		e.missed[peer.id] = 0
		e.deliver(peer, func() {
			peer.view.Heard(self, f.now)
			peer.members()
			peer.do(peer.core.Heard(e.id, said, f.now, nil))
		})
	}
}

func (e *fleetEntry) members() {
	e.view.Expire(e.fleet.now)
	e.do(e.core.SetMembers(e.id, e.view.Eligible(e.fleet.now), e.fleet.now, nil))
}

func (e *fleetEntry) tick() {
	f := e.fleet
	e.members()
	e.do(e.core.Tick(f.now, nil))
	if !e.drains && f.rand.IntN(8) < e.rate {
		e.next++
		e.do(e.core.Arrive(Request{ID: e.next, Service: "s", Arrived: f.now, Deadline: f.now.Add(time.Second)}, f.now, nil))
	}
	for _, want := range e.core.Wants(f.now, nil) {
		e.ask(want, f.now)
	}
	e.giveBack(e.core.Returns(f.now, nil))
	if e.drains && e.core.InFlight("s") == 0 && e.core.Queued("s") == 0 {
		e.alive = false
	}
}

func (e *fleetEntry) ask(want Want, asked time.Time) {
	f := e.fleet
	peer := f.find(want.Peer)
	e.deliver(peer, func() {
		loans := peer.core.Lend(want, e.id, f.now, nil)
		peer.deliver(e, func() {
			actions, returns := e.core.Borrowed(peer.id, loans, asked, f.now, nil, nil)
			f.shared += len(actions)
			e.do(actions)
			e.giveBack(returns)
		})
	})
}

func (e *fleetEntry) giveBack(returns []slots.Return) {
	for _, r := range returns {
		peer := e.fleet.find(r.Lender)
		if e.fleet.rand.IntN(4) == 0 {
			continue
		}
		e.deliver(peer, func() { peer.do(peer.core.Returned(e.id, r.Loan, e.fleet.now, nil)) })
	}
}

// do carries out the sends and notes whether another entry uses the slot.
func (e *fleetEntry) do(actions []Action) {
	f := e.fleet
	for _, a := range actions {
		if a.Kind != ActionSend {
			continue
		}
		key := slotKey{a.Minion, e.core.requests[a.Request].flights[0].slot}
		if user, used := f.users[key]; used {
			f.twice = append(f.twice, fmt.Sprintf("%s: slot %v of %s is used by %s", f.now.Sub(start), key, user, e.id))
		}
		f.users[key] = e.id
		f.sent++
		life := e.life
		finish := Finish{Request: a.Request, Minion: a.Minion, Result: oleanderline.ResultAnswered}
		f.after(time.Duration(f.rand.Int64N(int64(runBound))), func() {
			delete(f.users, key)
			if e.alive && e.life == life {
				e.do(e.core.Done(finish, f.now, nil))
			}
		})
	}
}

func (f *fleet) find(id oleanderline.VMID) *fleetEntry {
	for _, e := range f.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (f *fleet) change(e *fleetEntry, op string) {
	switch {
	case op == "crash" && e.alive:
		e.alive = false
	case op == "leave" && e.alive:
		e.drains = true
		self := e.view.Self()
		self.Draining = true
		e.view.SetSelf(self)
		e.core.Stop()
	case op == "start" && !e.alive:
		f.launch(e)
	case op == "load" && e.alive:
		e.rate = f.rand.IntN(9)
	}
}

// newFleet starts three of five entries and lets them settle.
func newFleet(seed uint64, drain time.Duration) *fleet {
	f := &fleet{drain: drain, rand: rand.New(rand.NewPCG(seed, 1)), users: map[slotKey]oleanderline.VMID{}}
	f.now = start
	for i := range 5 {
		f.entries = append(f.entries, &fleetEntry{fleet: f, id: oleanderline.VMID(fmt.Sprintf("e-%d", i))})
	}
	for _, e := range f.entries[:3] {
		f.launch(e)
	}
	f.runUntil(f.now.Add(3 * time.Second))
	return f
}

// Guards against two entries that use one slot at the same time while entries join, leave and crash, and messages are
// late, out of order or lost; and against slots that no entry uses any more afterwards.
func TestNoSlotHasTwoUsers(t *testing.T) {
	shared, sent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), slots.DefaultSettings().Drain)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			entry := f.entries[rapid.IntRange(0, 4).Draw(t, "entry")]
			op := rapid.SampledFrom([]string{"crash", "leave", "start", "load"}).Draw(t, "op")
			f.change(entry, op)
			pause := rapid.IntRange(0, 2500).Draw(t, "pause")
			f.runUntil(f.now.Add(time.Duration(pause) * time.Millisecond))
		}
		require.Empty(t, f.twice)
		require.Equal(t, 6, f.settledSlots(), "slots that an entry may use")
		require.Empty(t, f.twice)
		shared += f.shared
		sent += f.sent
	})
	t.Logf("%d requests were sent, %d of them at once on borrowed slots", sent, shared)
	require.Positive(t, shared, "the test must exercise loans")
}

// Guards against a property test that cannot fail: without the drain time, slots get two users after a crash.
func TestSlotsHaveTwoUsersWithoutTheDrainTime(t *testing.T) {
	twice := 0
	for seed := range uint64(20) {
		f := newFleet(seed, 0)
		f.change(f.entries[0], "crash")
		f.change(f.entries[0], "start")
		f.runUntil(f.now.Add(2 * time.Second))
		twice += len(f.twice)
	}
	require.Positive(t, twice)
}

// settledSlots lets the fleet settle without load and returns the number of slots that an entry may use then.
func (f *fleet) settledSlots() int {
	f.launchOne()
	for _, e := range f.entries {
		e.rate = 0
	}
	f.runUntil(f.now.Add(10 * time.Second))
	free := 0
	for _, e := range f.entries {
		if e.alive {
			free += e.core.services["s"].free()
		}
	}
	return free
}

func (f *fleet) launchOne() {
	for _, e := range f.entries {
		if e.alive && !e.drains {
			return
		}
	}
	f.entries[0].alive = false
	f.runUntil(f.now.Add(runBound))
	f.launch(f.entries[0])
}
