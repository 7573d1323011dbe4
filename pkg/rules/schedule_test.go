package rules

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
)

// hastyClock fires each timer at once and moves on by its length. It cancels a call that waits too often.
type hastyClock struct {
	now    time.Time
	budget int
	cancel context.CancelFunc
}

func (c *hastyClock) Now() time.Time { return c.now }

func (c *hastyClock) NewTimer(d time.Duration) oleanderline.Timer {
	c.now = c.now.Add(d)
	if c.budget--; c.budget < 0 && c.cancel != nil {
		c.cancel()
	}
	fired := make(firedTimer, 1)
	fired <- c.now
	return fired
}

type firedTimer chan time.Time

func (t firedTimer) C() <-chan time.Time { return t }
func (firedTimer) Stop() bool            { return false }

// schedule is one sequence of races, faults and restarts.
type schedule struct {
	t         *rapid.T
	clock     *hastyClock
	common    *common.Common
	log       *fakeLog
	followers []*Follower
	highest   []oleanderline.Revision // seen at each follower since its start
	unchecked bool
	published int
	lost      map[string]bool // ids that were reported to have lost
	won       map[string]oleanderline.Revision
	texts     map[string]string
	problems  []string
	edits     bool // an entry held edits
}

func newSchedule(t *rapid.T, unchecked bool) *schedule {
	s := &schedule{
		t: t, clock: &hastyClock{now: testStart}, log: newFakeLog(), unchecked: unchecked,
		lost: map[string]bool{}, won: map[string]oleanderline.Revision{},
		texts: map[string]string{},
	}
	s.common = testCommon(s.clock)
	const followers = 3
	s.followers = make([]*Follower, followers)
	s.highest = make([]oleanderline.Revision, followers)
	for i := range s.followers {
		s.restart(i)
	}
	return s
}

func (s *schedule) problem(format string, args ...any) {
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// peersOf returns what the other followers answer; a peer may be out of reach.
func (s *schedule) peersOf(i int) func(context.Context) []Snapshot {
	return func(context.Context) []Snapshot {
		var answers []Snapshot
		for j, f := range s.followers {
			if j != i && f != nil {
				answers = append(answers, f.Snapshot())
			}
		}
		return answers
	}
}

func (s *schedule) restart(i int) {
	s.followers[i] = nil
	s.highest[i] = 0
	s.followers[i] = NewFollower(s.common, s.log, WithPeers(s.peersOf(i)),
		WithKeep(time.Hour, fmt.Sprintf("own-%d", i)), WithOnChange(func(set *Set) {
			if set.Revision <= s.highest[i] {
				s.problem("follower %d went from revision %d to %d", i, s.highest[i], set.Revision)
			}
			s.highest[i] = set.Revision
		}))
	s.followers[i].order.unchecked = s.unchecked
	s.followers[i].Step(context.Background())
}

// publish lets an operator publish on a base that some own VM has in force, perhaps an old one.
func (s *schedule) publish(depth int) {
	s.published++
	n := s.published
	base := s.followers[rapid.IntRange(0, len(s.followers)-1).Draw(s.t, "seen at")].Snapshot().Revision
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.clock.budget, s.clock.cancel = 5, cancel
	defer func() { s.clock.cancel = nil }()
	publisher := NewPublisher(s.common, s.log, WithPeers(s.peersOf(-1)))
	publisher.follower.order.unchecked = s.unchecked
	publisher.smallText, publisher.wholeEvery = 0, 4
	s.log.beforeAppend = func() {
		s.log.beforeAppend = nil
		fault := rapid.SampledFrom([]string{"", "race", "lose", "late", "down"}).Draw(s.t, "fault")
		switch {
		case fault == "race" && depth < 3:
			cancelOfOuter := s.clock.cancel
			s.publish(depth + 1)
			s.clock.budget, s.clock.cancel = 5, cancelOfOuter
			s.log.beforeAppend = nil
		case fault == "lose":
			s.log.loseReply = true
		case fault == "late":
			s.log.late = true
		case fault == "down":
			s.log.down = true
		}
	}
	request := Request{ID: fmt.Sprintf("id-%d", n), Base: base, By: fmt.Sprintf("operator-%d", n), Text: s.draw(n)}
	s.texts[request.ID] = request.Text
	receipt, err := publisher.Publish(ctx, request)
	s.log.beforeAppend = nil
	var race *RaceError
	switch {
	case err == nil:
		s.won[request.ID] = receipt.Revision
	case errors.As(err, &race), errors.Is(err, oleanderline.ErrUnavailable), errors.Is(err, ErrUnsettled):
		s.lost[request.ID] = true
	default:
		require.ErrorIs(s.t, err, ErrOutcomeUnknown)
	}
}

// draw returns a text that shares most of its lines with others, so that edits are shorter than the whole.
func (s *schedule) draw(n int) string {
	lines := []string{fmt.Sprintf("limit service=s rate=%d # x\n", n)}
	for i := range 8 {
		lines = append(lines, fmt.Sprintf("drain vm=w-%d # a long comment that does not change from one revision to the next\n", i))
	}
	first := rapid.IntRange(0, len(lines)-1).Draw(s.t, "first line")
	return strings.Join(append(lines[first:], lines[:first]...), "")
}

func (s *schedule) step() {
	i := rapid.IntRange(0, len(s.followers)-1).Draw(s.t, "follower")
	switch rapid.SampledFrom([]string{"publish", "publish", "follow", "follow all", "restart", "down", "up", "trim", "arrive", "wait"}).Draw(s.t, "step") {
	case "publish":
		s.publish(0)
	case "follow":
		s.followers[i].Step(context.Background())
	case "follow all":
		for _, f := range s.followers {
			f.Step(context.Background())
		}
	case "restart":
		s.restart(i)
	case "down":
		s.log.down = true
	case "up":
		s.log.down = false
	case "trim":
		s.log.retain(oleanderline.Offset(rapid.IntRange(1, len(s.log.entries)+1).Draw(s.t, "oldest")))
	case "arrive":
		s.log.arrive()
	case "wait":
		s.clock.now = s.clock.now.Add(40 * time.Minute)
	}
}

// finish ends all faults, lets every follower read to the end, and compares with the whole stream. The time that passes
// may make followers repeat the rules, so that they read until none has appended anything.
func (s *schedule) finish() {
	s.log.down = false
	s.log.arrive()
	for range 2 {
		for _, f := range s.followers {
			s.clock.now = s.clock.now.Add(maxPeerInterval)
			f.Step(context.Background())
		}
	}
	for before := -1; before != len(s.log.entries); {
		before = len(s.log.entries)
		for _, f := range s.followers {
			f.Step(context.Background())
		}
	}
	accepted, newest := s.verdicts()
	settled := false
	for _, f := range s.followers {
		settled = settled || f.Status().Settled
	}
	for i, f := range s.followers {
		held := f.Snapshot()
		if settled && held.Revision != newest {
			s.problem("follower %d holds revision %d, not %d", i, held.Revision, newest)
		}
		id, ok := accepted[held.Revision]
		if !ok && held.Revision > 0 {
			s.problem("follower %d holds revision %d, which was never accepted", i, held.Revision)
		}
		if text, ok := s.texts[id]; ok && text != held.Text {
			s.problem("follower %d holds another text for revision %d than %s published", i, held.Revision, id)
		}
	}
	for revision, id := range accepted {
		if s.lost[id] {
			s.problem("revision %d is in force, but its publisher was told that nothing was published", revision)
		}
	}
	for id, revision := range s.won {
		if accepted[revision] != id && !strings.HasPrefix(accepted[revision], keepPrefix) {
			s.problem("%s was told that it is revision %d, which is %s", id, revision, accepted[revision])
		}
	}
}

// verdicts applies the rule of the base to the whole stream, which the fake keeps aside from retention.
func (s *schedule) verdicts() (accepted map[oleanderline.Revision]string, newest oleanderline.Revision) {
	accepted = map[oleanderline.Revision]string{}
	for _, raw := range s.log.entries {
		e, err := DecodeEntry(raw.Data)
		require.NoError(s.t, err)
		s.edits = s.edits || !e.Whole()
		if e.Base == newest {
			newest = oleanderline.Revision(raw.Offset)
			accepted[newest] = e.ID
		}
	}
	return accepted, newest
}

func runSchedule(t *rapid.T, unchecked bool) *schedule {
	s := newSchedule(t, unchecked)
	for range rapid.IntRange(5, 30).Draw(t, "steps") {
		s.step()
	}
	s.finish()
	return s
}

// schedulesPerCheck makes 1,000 schedules of the 100 checks that CI runs.
const schedulesPerCheck = 10

// Guards against followers that differ, a revision that goes back, and an operator whose change is overwritten or who is
// told the wrong outcome.
func TestEveryScheduleEndsOnOneRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range schedulesPerCheck {
			require.Empty(t, runSchedule(t, false).problems)
		}
	})
}

// Shows that the property above finds the fault that it is there for: entries accepted without a look at their base.
func TestSchedulesFailWithoutTheBaseCheck(t *testing.T) {
	failed, edits := 0, 0
	for seed := range 50 {
		s := rapid.Custom(func(t *rapid.T) *schedule { return runSchedule(t, true) }).Example(seed)
		if len(s.problems) > 0 {
			failed++
		}
		if s.edits {
			edits++
		}
	}
	require.Positive(t, failed)
	require.Positive(t, edits, "schedules publish edits as well as whole texts")
	t.Logf("%d of 50 schedules failed without the check, %d published edits", failed, edits)
}
