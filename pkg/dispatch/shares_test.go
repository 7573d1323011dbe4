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

// Bounds of the messages between entries in this test, chosen so that a running entry is never declared lost.
const (
	heartbeatInterval    = 200 * time.Millisecond
	heartbeatTimeout     = time.Second
	maxMessageDelay      = 300 * time.Millisecond
	maxConsecutiveLosses = 2
	// maxRun is less than the drain time, because a minion continues to run the requests of a crashed entry.
	maxRun = 850 * time.Millisecond
)

type slotID struct {
	minion oleanderline.MinionID
	slot   int
}

// fleet simulates a group of entries that share minions and exchange heartbeats and loans.
type fleet struct {
	events
	rand         *rand.Rand
	drain        time.Duration
	doubleUses   []string // descriptions of requests sent to a slot that another entry was using
	entries      []*fleetEntry
	slotUsers    map[slotID]oleanderline.VMID
	borrowedUses int // requests sent at once to a slot that was just borrowed
	sent         int
}

type fleetEntry struct {
	fleet             *fleet
	id                oleanderline.VMID
	core              *Core
	view              *member.View
	next              RequestID
	alive             bool
	draining          bool
	incarnation       int
	consecutiveLosses map[oleanderline.VMID]int
	rate              int
}

func (f *fleet) start(e *fleetEntry) {
	e.incarnation++
	e.alive, e.draining = true, false
	e.consecutiveLosses = map[oleanderline.VMID]int{}
	settings := DefaultSettings()
	settings.Slots.Drain = f.drain
	e.core = New(WithSettings(settings), WithRand(f.rand))
	e.view = member.NewView(member.Member{ID: e.id, Incarnation: f.now.UnixNano()}, heartbeatTimeout)
	e.core.SetMembers(e.id, e.view.Eligible(f.now), f.now, nil)
	e.core.SetMinions(testMinions(3), f.now, nil)
	e.rate = f.rand.IntN(8)
	e.loop(heartbeatInterval, e.sendHeartbeats)
	e.loop(10*time.Millisecond, e.tick)
}

// loop repeats an action until the process of the entry ends.
func (e *fleetEntry) loop(interval time.Duration, action func()) {
	incarnation := e.incarnation
	var repeat func()
	repeat = func() {
		if e.alive && e.incarnation == incarnation {
			action()
			e.fleet.after(interval, repeat)
		}
	}
	e.fleet.after(time.Duration(e.fleet.rand.Int64N(int64(interval))), repeat)
}

// deliver runs an action at a peer after a random delay, unless the peer's process has ended by then.
func (e *fleetEntry) deliver(peer *fleetEntry, action func()) {
	incarnation := peer.incarnation
	e.fleet.after(time.Duration(e.fleet.rand.Int64N(int64(maxMessageDelay))), func() {
		if peer.alive && peer.incarnation == incarnation {
			action()
		}
	})
}

func (e *fleetEntry) sendHeartbeats() {
	f := e.fleet
	statement, self := e.core.Statement(f.now), e.view.Self()
	for _, peer := range f.entries {
		if peer == e || !peer.alive {
			continue
		}
		if e.consecutiveLosses[peer.id] < maxConsecutiveLosses && f.rand.IntN(4) == 0 {
			e.consecutiveLosses[peer.id]++
			continue
		}
		e.consecutiveLosses[peer.id] = 0
		e.deliver(peer, func() {
			peer.view.RecordHeartbeat(self, f.now)
			peer.updateMembers()
			peer.apply(peer.core.HandleStatement(e.id, statement, f.now, nil))
		})
	}
}

func (e *fleetEntry) updateMembers() {
	e.view.Expire(e.fleet.now)
	e.apply(e.core.SetMembers(e.id, e.view.Eligible(e.fleet.now), e.fleet.now, nil))
}

func (e *fleetEntry) tick() {
	f := e.fleet
	e.updateMembers()
	e.apply(e.core.Tick(f.now, nil))
	if !e.draining && f.rand.IntN(8) < e.rate {
		e.next++
		e.apply(e.core.Arrive(Request{ID: e.next, Service: "s", Arrived: f.now, Deadline: f.now.Add(time.Second)}, f.now, nil))
	}
	for _, request := range e.core.LoanRequests(f.now, nil) {
		e.requestLoans(request, f.now)
	}
	e.returnLoans(e.core.DueReturns(f.now, nil))
	if e.draining && e.core.InFlight("s") == 0 && e.core.Queued("s") == 0 {
		e.alive = false
	}
}

func (e *fleetEntry) requestLoans(request LoanRequest, requestedAt time.Time) {
	f := e.fleet
	peer := f.find(request.Peer)
	e.deliver(peer, func() {
		loans := peer.core.Lend(request, e.id, f.now, nil)
		peer.deliver(e, func() {
			actions, returns := e.core.AddLoans(peer.id, loans, requestedAt, f.now, nil, nil)
			f.borrowedUses += len(actions)
			e.apply(actions)
			e.returnLoans(returns)
		})
	})
}

func (e *fleetEntry) returnLoans(returns []slots.Return) {
	for _, r := range returns {
		peer := e.fleet.find(r.Lender)
		if e.fleet.rand.IntN(4) == 0 {
			continue
		}
		e.deliver(peer, func() { peer.apply(peer.core.HandleReturn(e.id, r.Loan, e.fleet.now, nil)) })
	}
}

// apply carries out the sends and records whether another entry is using the slot.
func (e *fleetEntry) apply(actions []Action) {
	f := e.fleet
	for _, a := range actions {
		if a.Kind != ActionSend {
			continue
		}
		key := slotID{a.Minion, e.core.requests[a.Request].exchanges[0].slot}
		if user, used := f.slotUsers[key]; used {
			f.doubleUses = append(f.doubleUses, fmt.Sprintf("%s: slot %v of %s is used by %s", f.now.Sub(start), key, user, e.id))
		}
		f.slotUsers[key] = e.id
		f.sent++
		incarnation := e.incarnation
		completion := Completion{Request: a.Request, Minion: a.Minion, Result: oleanderline.ResultAnswered}
		f.after(time.Duration(f.rand.Int64N(int64(maxRun))), func() {
			delete(f.slotUsers, key)
			if e.alive && e.incarnation == incarnation {
				e.apply(e.core.Done(completion, f.now, nil))
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

// applyOp applies an operation (crash, leave, start or load) to an entry.
func (f *fleet) applyOp(e *fleetEntry, op string) {
	switch {
	case op == "crash" && e.alive:
		e.alive = false
	case op == "leave" && e.alive:
		e.draining = true
		self := e.view.Self()
		self.Draining = true
		e.view.SetSelf(self)
		e.core.Stop()
	case op == "start" && !e.alive:
		f.start(e)
	case op == "load" && e.alive:
		e.rate = f.rand.IntN(9)
	}
}

// newFleet starts three of five entries and runs them until they have agreed on the slot holders.
func newFleet(seed uint64, drain time.Duration) *fleet {
	f := &fleet{drain: drain, rand: rand.New(rand.NewPCG(seed, 1)), slotUsers: map[slotID]oleanderline.VMID{}}
	f.now = start
	for i := range 5 {
		f.entries = append(f.entries, &fleetEntry{fleet: f, id: oleanderline.VMID(fmt.Sprintf("e-%d", i))})
	}
	for _, e := range f.entries[:3] {
		f.start(e)
	}
	f.runUntil(f.now.Add(3 * time.Second))
	return f
}

// Guards against two entries that use the same slot at the same time while entries join, leave and crash and messages are
// late, reordered or lost, and against slots that afterwards are usable by no entry.
func TestNoSlotHasTwoUsers(t *testing.T) {
	borrowed, sent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), slots.DefaultSettings().Drain)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			entry := f.entries[rapid.IntRange(0, 4).Draw(t, "entry")]
			op := rapid.SampledFrom([]string{"crash", "leave", "start", "load"}).Draw(t, "op")
			f.applyOp(entry, op)
			pause := rapid.IntRange(0, 2500).Draw(t, "pause")
			f.runUntil(f.now.Add(time.Duration(pause) * time.Millisecond))
		}
		require.Empty(t, f.doubleUses)
		require.Equal(t, 6, f.freeSlotsAfterSettling(), "slots that an entry may use")
		require.Empty(t, f.doubleUses)
		borrowed += f.borrowedUses
		sent += f.sent
	})
	t.Logf("%d requests were sent, %d of them at once on borrowed slots", sent, borrowed)
	require.Positive(t, borrowed, "the test must exercise loans")
}

// Guards against a property test that cannot fail: without the drain time, slots have two users after a crash.
func TestSlotsHaveTwoUsersWithoutTheDrainTime(t *testing.T) {
	doubleUses := 0
	for seed := range uint64(20) {
		f := newFleet(seed, 0)
		f.applyOp(f.entries[0], "crash")
		f.applyOp(f.entries[0], "start")
		f.runUntil(f.now.Add(2 * time.Second))
		doubleUses += len(f.doubleUses)
	}
	require.Positive(t, doubleUses)
}

// freeSlotsAfterSettling runs the fleet without load for 10 s and returns the number of slots that are then usable by an
// entry.
func (f *fleet) freeSlotsAfterSettling() int {
	f.ensureRunning()
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

// ensureRunning restarts an entry if all are crashed or draining.
func (f *fleet) ensureRunning() {
	for _, e := range f.entries {
		if e.alive && !e.draining {
			return
		}
	}
	f.entries[0].alive = false
	f.runUntil(f.now.Add(maxRun))
	f.start(f.entries[0])
}
