package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const count = 64

// entry is a table with one minion of many slots.
type entry struct {
	*Table
	minion *Minion
}

func newEntry(self oleanderline.VMID, now time.Time, members ...oleanderline.VMID) entry {
	t := NewTable(DefaultSettings())
	t.SetMembers(self, append(members, self), now)
	return entry{Table: t, minion: t.Add("m", count, now)}
}

// meet lets two entries hear each other twice, so that each has an answer to its own statement.
func meet(a, b entry, now time.Time) {
	for range 2 {
		b.Heard(a.self, a.Statement(now), now)
		a.Heard(b.self, b.Statement(now), now)
	}
}

// settledPair returns two entries that use all slots between them.
func settledPair(t *testing.T) (a, b entry, now time.Time) {
	a, b = newEntry("a", start, "b"), newEntry("b", start, "a")
	now = start.Add(DefaultSettings().Drain)
	meet(a, b, now)
	require.Equal(t, count, a.minion.Free()+b.minion.Free())
	return a, b, now
}

// Found by reading, while a failure of TestNoSlotHasTwoUsers was traced: a peer that returned to the view was believed by a
// statement from before its loss.
func TestALateStatementFromBeforeTheLossIsIgnored(t *testing.T) {
	a, b, now := settledPair(t)
	late := b.Statement(now)
	a.Heard("b", b.Statement(now), now)
	a.SetMembers("a", []oleanderline.VMID{"a"}, now)
	a.SetMembers("a", []oleanderline.VMID{"a", "b"}, now)
	a.Heard("b", late, now)
	require.False(t, a.stated(a.peers["b"]))
}

// Found by TestNoSlotHasTwoUsers: a new entry did not know of a peer that leaves but still uses slots.
func TestANewEntryWaitsForALeavingPeerThatOthersName(t *testing.T) {
	a, b, now := settledPair(t)
	for range count {
		b.minion.Take(now)
	}
	a.SetMembers("a", []oleanderline.VMID{"a", "c"}, now)
	b.SetMembers("b", []oleanderline.VMID{"a", "c"}, now)
	c := newEntry("c", now.Add(-DefaultSettings().Drain), "a")
	meet(a, c, now)
	require.Zero(t, c.minion.Free())
	c.Heard("b", b.Statement(now), now)
	b.Heard("c", c.Statement(now), now)
	c.Heard("b", b.Statement(now), now)
	require.Positive(t, c.minion.Free())
	for i := range c.minion.slots {
		require.False(t, b.minion.slots[i].busy && c.minion.slots[i].usable(now), "slot %d", i)
	}
}

// Found by TestNoSlotHasTwoUsers: a restarted entry believed a leaving peer and did not wait for a member that it names.
func TestANewEntryWaitsForMembersThatALeavingPeerNames(t *testing.T) {
	a, b, now := settledPair(t)
	for range count {
		b.minion.Take(now)
	}
	a.SetMembers("a", []oleanderline.VMID{"b", "c"}, now)
	c := newEntry("c", now.Add(-DefaultSettings().Drain))
	meet(a, c, now)
	require.True(t, c.stated(c.peers["a"]))
	require.Zero(t, c.minion.Free())
}

// Found by TestNoSlotHasTwoUsers: two entries that started together confirmed each other before they knew of a third.
func TestTwoNewEntriesWaitForTheDrainTime(t *testing.T) {
	a, b := newEntry("a", start, "b"), newEntry("b", start, "a")
	meet(a, b, start)
	require.Zero(t, a.minion.Free()+b.minion.Free())
	meet(a, b, start.Add(DefaultSettings().Drain))
	require.Equal(t, count, a.minion.Free()+b.minion.Free())
}

// Found by TestNoSlotHasTwoUsers: a joining entry believed a peer that had just restarted, while minions still ran what the
// earlier process of that peer had sent.
func TestANewEntryWaitsForARestartedPeer(t *testing.T) {
	now := start.Add(DefaultSettings().Drain)
	a, b := newEntry("a", start, "b"), newEntry("b", now, "a")
	meet(a, b, now)
	require.Zero(t, a.minion.Free())
	meet(a, b, now.Add(DefaultSettings().Drain))
	require.Equal(t, count, a.minion.Free()+b.minion.Free())
}

// Guards against a borrower's slot that its lender uses again because a message of an earlier loan was late.
func TestAnEarlierLoanDoesNotEndALaterOne(t *testing.T) {
	a, _, now := settledPair(t)
	first, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	a.Returned("b", first, now)
	second, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	require.Equal(t, first.Ref, second.Ref)
	free := a.minion.Free()
	a.Returned("b", first, now)
	require.Equal(t, free, a.minion.Free())
	a.Returned("b", second, now)
	require.Equal(t, free+1, a.minion.Free())
}

// Guards against a loan whose return was lost and whose slot nobody uses any more.
func TestALoanWithoutReturnIsReclaimed(t *testing.T) {
	a, b, now := settledPair(t)
	loan, ok := a.Lend("b", a.minion, now)
	require.True(t, ok)
	require.True(t, b.Borrowed("a", loan, now, now))
	free := a.minion.Free()
	now = now.Add(loan.For)
	b.Tick(now)
	a.Heard("b", b.Statement(now), now)
	require.Equal(t, free, a.minion.Free(), "the statement may be from before the expiry")
	meet(a, b, now)
	require.Equal(t, free+1, a.minion.Free())
}
