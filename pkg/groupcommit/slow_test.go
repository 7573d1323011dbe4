package groupcommit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against claims of leadership that wait although only records are missing, and against a refusal by a full queue that is taken for
// one of this node.
func TestCertainlySlowAndCongested(t *testing.T) {
	type scenario struct {
		name                string
		play                func(f *fixture)
		certainly, congests bool
	}
	for _, s := range []scenario{
		{"nothing is known", func(*fixture) {}, false, false},
		{"fast appends", func(f *fixture) { f.append(fast, Answered) }, false, false},
		{"slow appends", func(f *fixture) { f.append(slow, Answered) }, true, true},
		{"slow appends, the last a while ago", func(f *fixture) { f.append(slow, Answered); f.now = f.now.Add(servedHold) }, true, false},
		{"slow appends of the leader", func(f *fixture) { f.ObserveCell(slow, f.now) }, true, false},
		{"a refused append", func(f *fixture) { f.append(fast, Refused) }, false, false},
		{"a late read, perhaps for want of records", func(f *fixture) { end := f.BeginRead(true, f.now); f.now = f.now.Add(slow); end(f.now) }, false, false},
		{"a slow read without a wait", func(f *fixture) { f.ObserveRead(slow, f.now) }, true, false},
		{"fast appends and a slow read", func(f *fixture) { f.append(fast, Answered); f.ObserveRead(slow, f.now) }, true, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := newFixture()
			s.play(f)
			require.Equal(t, s.certainly, f.CertainlySlow(f.now))
			require.Equal(t, s.congests, f.Congested(f.now))
		})
	}
}

// Guards against appends that are sent beside an open one although that is not late yet, which lengthens the queue of a slow log.
func TestOverdueFollowsTheAnswerTime(t *testing.T) {
	f := newFixture()
	require.Equal(t, minOverdue, f.Overdue(f.now))
	f.append(2*minOverdue, Answered)
	require.Equal(t, overdueFactor*2*minOverdue, f.Overdue(f.now))
	f.now = f.now.Add(answerValidity)
	require.Equal(t, minOverdue, f.Overdue(f.now), "the answer time is not known any more")
	f.append(2*minOverdue, Lost)
	require.Equal(t, minOverdue, f.Overdue(f.now), "a lost answer tells no answer time")
}

// Guards against an answer time that follows a single append.
func TestAnswerTimeIsSmoothed(t *testing.T) {
	f := newFixture()
	f.append(fast, Answered)
	f.append(3*fast, Answered)
	require.Equal(t, 2*fast, f.Answer(f.now))
	f.now = f.now.Add(answerValidity + time.Millisecond)
	require.Zero(t, f.Answer(f.now))
}
