package groupcommit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

const (
	fast = 5 * time.Millisecond
	slow = 150 * time.Millisecond
)

// fixture is a policy on virtual time.
type fixture struct {
	*Policy

	now time.Time
}

func newFixture() *fixture {
	return &fixture{Policy: New(func() float64 { return 0.5 }), now: time.Unix(1000, 0)}
}

// append plays an append of this node.
func (f *fixture) append(took time.Duration, result Result) {
	end := f.Begin(f.now)
	f.now = f.now.Add(took)
	end(result, f.now)
}

// read plays two seconds in which a number of records a second is read.
func (f *fixture) read(perSecond int) {
	f.ObserveRecords(0, f.now)
	for range 2 {
		f.now = f.now.Add(rateWindow)
		f.ObserveRecords(perSecond, f.now)
	}
}

// Guards against a node that appends for itself while the log is slow, or goes through another one while it is fast.
func TestSlow(t *testing.T) {
	type scenario struct {
		name string
		play func(f *fixture)
		want bool
	}
	for _, s := range []scenario{
		{"nothing is known", func(*fixture) {}, false},
		{"fast appends", func(f *fixture) { f.append(fast, Answered) }, false},
		{"a slow append", func(f *fixture) { f.append(slow, Answered) }, true},
		{"a slow append a while ago", func(f *fixture) { f.append(slow, Answered); f.now = f.now.Add(SlowHold) }, false},
		{"an open append without an answer", func(f *fixture) { f.Begin(f.now); f.now = f.now.Add(SlowAnswer) }, true},
		{"a refused append", func(f *fixture) { f.append(fast, Refused) }, true},
		{"a lost answer", func(f *fixture) { f.append(minTimeout, Lost) }, true},
		{"the leader's appends are slow", func(f *fixture) { f.ObserveCell(slow, f.now) }, true},
		{"the leader's appends are fast", func(f *fixture) { f.ObserveCell(fast, f.now) }, false},
		{"many records of the cell", func(f *fixture) { f.read(busyRate) }, true},
		{"some records of the cell", func(f *fixture) { f.read(busyRate - 1) }, false},
		{"a slow appender", func(f *fixture) { f.ObserveHandOver("a", HandOverStored, slow, f.now) }, true},
		{"an appender that refuses", func(f *fixture) { f.ObserveHandOver("a", HandOverNotInTime, fast, f.now) }, true},
		{"a fast appender", func(f *fixture) { f.ObserveHandOver("a", HandOverStored, fast, f.now) }, false},
		{"an open read without an answer", func(f *fixture) { f.BeginRead(true, f.now); f.now = f.now.Add(slowRead) }, true},
		{"an open read that may wait for records", func(f *fixture) { f.BeginRead(false, f.now); f.now = f.now.Add(time.Second) }, false},
		{"a read that took long", func(f *fixture) { end := f.BeginRead(true, f.now); f.now = f.now.Add(slow); end(f.now) }, true},
		{"a read without records that took longer than it was to wait", func(f *fixture) { f.ObserveRead(slow, f.now) }, true},
		{"a quick read", func(f *fixture) { end := f.BeginRead(true, f.now); f.now = f.now.Add(fast); end(f.now) }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture()
			s.play(f)
			require.Equal(t, s.want, f.Slow(f.now))
		})
	}
}

// Guards against an append that is taken for lost while the log is slow, and is repeated into its queue; and against a caller that waits
// long for a lost answer of a fast log.
func TestTimeout(t *testing.T) {
	f := newFixture()
	f.append(fast, Answered)
	require.Equal(t, minTimeout, f.Timeout(f.now))
	f.ObserveCell(2*slow, f.now)
	require.Equal(t, 2*slow*timeoutFactor, f.Timeout(f.now))
	f.append(minTimeout, Lost)
	require.Equal(t, maxTimeout, f.Timeout(f.now))
	f.append(fast, Answered)
	f.ObserveCell(fast, f.now)
	require.Equal(t, minTimeout, f.Timeout(f.now))
}

// Guards against a caller that is held to the end although its record cannot be stored in time, and against refusals of what can be.
func TestWait(t *testing.T) {
	f := newFixture()
	require.Zero(t, f.Wait(1000, 10, f.now), "nothing is known")
	f.append(slow, Answered)
	require.Equal(t, slow, f.Wait(0, 10, f.now), "no append is open")
	f.Begin(f.now)
	f.now = f.now.Add(slow / 3)
	require.Equal(t, slow+2*slow/3, f.Wait(0, 10, f.now), "behind an open append")
	require.Equal(t, 3*slow+2*slow/3, f.Wait(25, 10, f.now), "behind two full batches as well")
	f.now = f.now.Add(slow)
	require.Equal(t, slow, f.Wait(0, 10, f.now), "the open append is overdue")
}

// Guards against an appender that is asked again and again although it does not answer, and against one that is never asked again.
func TestChoose(t *testing.T) {
	f := newFixture()
	f.ObserveRead(slow, f.now.Add(time.Minute)) // the log is slow all the time
	candidates := []oleanderline.VMID{"a", "b"}
	choose := func() oleanderline.VMID {
		vm, ok := f.Choose(candidates, f.now)
		require.Equal(t, vm != "", ok)
		return vm
	}
	require.EqualValues(t, "a", choose())
	f.ObserveHandOver("a", HandOverFailed, fast, f.now)
	f.ObserveHandOver("a", HandOverFailed, fast, f.now) // another call that was under way
	require.EqualValues(t, "b", choose())
	f.ObserveHandOver("b", HandOverFailed, fast, f.now)
	require.Empty(t, choose())
	f.now = f.now.Add(minPenalty)
	require.EqualValues(t, "a", choose())
	f.ObserveHandOver("a", HandOverFailed, fast, f.now)
	f.now = f.now.Add(minPenalty)
	require.EqualValues(t, "b", choose(), "the penalty grows")
	f.now = f.now.Add(minPenalty)
	require.EqualValues(t, "a", choose())
	f.ObserveHandOver("a", HandOverNotInTime, fast, f.now)
	require.EqualValues(t, "a", choose())
}

// Guards against nodes that all ask the same few nodes for help although the log, which is fast, refuses these as well.
func TestChooseSpreadsWhileTheLogIsFast(t *testing.T) {
	candidates := []oleanderline.VMID{"a", "b", "c", "d", "e"}
	draw := 0.0
	p := New(func() float64 { return draw })
	now := time.Unix(1000, 0)
	chosen := map[oleanderline.VMID]bool{}
	choose := func() {
		for draw = 0; draw <= 1; draw += 0.125 {
			vm, ok := p.Choose(candidates, now)
			require.True(t, ok)
			chosen[vm] = true
		}
	}
	choose()
	require.Equal(t, map[oleanderline.VMID]bool{"a": true}, chosen, "the leader comes first")
	p.ObserveHandOver("a", HandOverFailed, fast, now)
	clear(chosen)
	choose()
	require.Equal(t, map[oleanderline.VMID]bool{"b": true, "c": true, "d": true, "e": true}, chosen)
	p.ObserveRead(slow, now)
	clear(chosen)
	choose()
	require.Equal(t, map[oleanderline.VMID]bool{"b": true}, chosen, "the log is slow")
}

// Guards against a cell whose nodes fill the queue of a slow log with their own appends when the appender is lost: together they may take
// ownShare of its time.
func TestOwnAppendsLeaveRoomForOthers(t *testing.T) {
	const nodes = 43
	appends := 0
	begun := time.Unix(1000, 0)
	duration := time.Minute
	for node := range nodes {
		p := New(func() float64 { return float64(node) / nodes })
		for now := begun; now.Sub(begun) < duration; now = now.Add(100 * time.Millisecond) {
			p.ObserveCell(slow, now)
			if p.MayAppend(nodes, now) {
				appends++
			}
		}
	}
	require.LessOrEqual(t, time.Duration(appends)*slow, time.Duration(ownShare*1.1*float64(duration)))
	require.Positive(t, appends)
}

// Guards against nodes that keep the queue of a log full which refuses or loses their appends, so that its answer time is not known.
func TestOwnAppendsAtUnknownAnswerTime(t *testing.T) {
	for _, result := range []Result{Refused, Lost} {
		f := newFixture()
		const nodes = 43
		attempts, begun := 0, f.now
		for f.now.Sub(begun) < time.Minute {
			if f.MayAppend(nodes, f.now) {
				attempts++
				f.append(fast, result)
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
		require.LessOrEqual(t, attempts, 10)
		require.GreaterOrEqual(t, attempts, 2)
		f.append(fast, Answered)
		f.MayAppend(nodes, f.now) // draws a phase
		f.now = f.now.Add(time.Second)
		require.True(t, f.MayAppend(nodes, f.now), "the log answers again")
	}
}

// Guards against an appender that gets the whole time of a caller, so that none is left for another way.
func TestHandOverLeavesTimeForAnotherWay(t *testing.T) {
	f := newFixture()
	require.Equal(t, minWait, f.HandOverTime(3*time.Second, f.now))
	require.Equal(t, 100*time.Millisecond, f.HandOverTime(200*time.Millisecond, f.now))
	f.ObserveCell(2*slow, f.now)
	require.Equal(t, waitFactor*2*slow, f.HandOverTime(3*time.Second, f.now))
}
