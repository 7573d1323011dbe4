package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const testSlots = 64

// entry is a Table with one minion that has testSlots slots.
type entry struct {
	*Table
	minion *Minion
}

func newEntry(self oleanderline.VMID, now time.Time, members ...oleanderline.VMID) entry {
	t := NewTable(DefaultSettings())
	t.SetMembers(self, append(members, self), now)
	return entry{Table: t, minion: t.Add("m", testSlots, now)}
}

// exchangeStatements sends statements between two entries twice, so that each has an acknowledgement of its own
// statement.
func exchangeStatements(a, b entry, now time.Time) {
	for range 2 {
		b.HandleStatement(a.self, a.Statement(now), now)
		a.HandleStatement(b.self, b.Statement(now), now)
	}
}

// settledPair returns two entries that share all slots.
func settledPair(t *testing.T) (a, b entry, now time.Time) {
	a, b = newEntry("a", start, "b"), newEntry("b", start, "a")
	now = start.Add(DefaultSettings().Drain)
	exchangeStatements(a, b, now)
	require.Equal(t, testSlots, a.minion.Free()+b.minion.Free())
	return a, b, now
}

// Guards against a peer that returns to the view and whose statement from before its loss is still taken as current.
// Found by reading the code while tracing a failure of TestNoSlotHasTwoUsers in pkg/dispatch.
func TestALateStatementFromBeforeTheLossIsIgnored(t *testing.T) {
	a, b, now := settledPair(t)
	late := b.Statement(now)
	a.HandleStatement("b", b.Statement(now), now)
	a.SetMembers("a", []oleanderline.VMID{"a"}, now)
	a.SetMembers("a", []oleanderline.VMID{"a", "b"}, now)
	a.HandleStatement("b", late, now)
	require.False(t, a.hasCurrentStatement(a.peers["b"]))
}

// Guards against a new entry that takes slots of a leaving peer it does not know of. Found by TestNoSlotHasTwoUsers in
// pkg/dispatch.
func TestANewEntryWaitsForALeavingPeerThatOthersName(t *testing.T) {
	a, b, now := settledPair(t)
	for range testSlots {
		b.minion.Take(now)
	}
	a.SetMembers("a", []oleanderline.VMID{"a", "c"}, now)
	b.SetMembers("b", []oleanderline.VMID{"a", "c"}, now)
	c := newEntry("c", now.Add(-DefaultSettings().Drain), "a")
	exchangeStatements(a, c, now)
	require.Zero(t, c.minion.Free())
	c.HandleStatement("b", b.Statement(now), now)
	b.HandleStatement("c", c.Statement(now), now)
	c.HandleStatement("b", b.Statement(now), now)
	require.Positive(t, c.minion.Free())
	for i := range c.minion.slots {
		require.False(t, b.minion.slots[i].busy && c.minion.slots[i].usable(now), "slot %d", i)
	}
}

// Guards against a restarted entry that relies on the statement of a leaving peer without waiting for a member named in
// it. Found by TestNoSlotHasTwoUsers in pkg/dispatch.
func TestANewEntryWaitsForMembersThatALeavingPeerNames(t *testing.T) {
	a, b, now := settledPair(t)
	for range testSlots {
		b.minion.Take(now)
	}
	a.SetMembers("a", []oleanderline.VMID{"b", "c"}, now)
	c := newEntry("c", now.Add(-DefaultSettings().Drain))
	exchangeStatements(a, c, now)
	require.True(t, c.hasCurrentStatement(c.peers["a"]))
	require.Zero(t, c.minion.Free())
}

// Guards against two entries that start together and confirm each other's slots before they know of a third entry. Found
// by TestNoSlotHasTwoUsers in pkg/dispatch.
func TestTwoNewEntriesWaitForTheDrainTime(t *testing.T) {
	a, b := newEntry("a", start, "b"), newEntry("b", start, "a")
	exchangeStatements(a, b, start)
	require.Zero(t, a.minion.Free()+b.minion.Free())
	exchangeStatements(a, b, start.Add(DefaultSettings().Drain))
	require.Equal(t, testSlots, a.minion.Free()+b.minion.Free())
}

// Guards against a joining entry that relies on the statement of a peer that has just restarted, while minions still run
// requests of the peer's earlier process. Found by TestNoSlotHasTwoUsers in pkg/dispatch.
func TestANewEntryWaitsForARestartedPeer(t *testing.T) {
	now := start.Add(DefaultSettings().Drain)
	a, b := newEntry("a", start, "b"), newEntry("b", now, "a")
	exchangeStatements(a, b, now)
	require.Zero(t, a.minion.Free())
	exchangeStatements(a, b, now.Add(DefaultSettings().Drain))
	require.Equal(t, testSlots, a.minion.Free()+b.minion.Free())
}

// Guards against a lender that uses a lent slot again because the return of an earlier loan of the slot arrived late.
func TestAnEarlierLoanDoesNotEndALaterOne(t *testing.T) {
	a, _, now := settledPair(t)
	first, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	a.HandleReturn("b", first, now)
	second, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	require.Equal(t, first.Ref, second.Ref)
	free := a.minion.Free()
	a.HandleReturn("b", first, now)
	require.Equal(t, free, a.minion.Free())
	a.HandleReturn("b", second, now)
	require.Equal(t, free+1, a.minion.Free())
}

// Guards against a slot that remains unused because the return of its loan was lost.
func TestALoanWithoutReturnIsReclaimed(t *testing.T) {
	a, b, now := settledPair(t)
	loan, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	require.True(t, b.AddLoan("a", loan, now, now))
	free := a.minion.Free()
	now = now.Add(loan.For)
	b.Tick(now)
	a.HandleStatement("b", b.Statement(now), now)
	require.Equal(t, free, a.minion.Free(), "the statement may be older than the expiry")
	exchangeStatements(a, b, now)
	require.Equal(t, free+1, a.minion.Free())
}
