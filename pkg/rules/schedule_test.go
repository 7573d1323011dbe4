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

// instantClock fires each timer immediately and advances by its duration. It calls cancel when timersLeft is used up.
type instantClock struct {
	now        time.Time
	timersLeft int
	cancel     context.CancelFunc
}

func (c *instantClock) Now() time.Time { return c.now }

func (c *instantClock) NewTimer(d time.Duration) oleanderline.Timer {
	c.now = c.now.Add(d)
	if c.timersLeft--; c.timersLeft < 0 && c.cancel != nil {
		c.cancel()
	}
	fired := make(firedTimer, 1)
	fired <- c.now
	return fired
}

type firedTimer chan time.Time

func (t firedTimer) C() <-chan time.Time { return t }
func (firedTimer) Stop() bool            { return false }

// schedule runs one random sequence of concurrent publishes, faults and restarts.
type schedule struct {
	t               *rapid.T
	clock           *instantClock
	common          *common.Common
	log             *fakeLog
	followers       []*Follower
	highestRevision []oleanderline.Revision // in force at each follower since its start
	skipBaseCheck   bool
	published       int                              // number of calls of publish
	rejected        map[string]bool                  // ids whose publisher was told that nothing was published
	confirmed       map[string]oleanderline.Revision // revision that the publisher was told, by id
	texts           map[string]string                // published texts, by id
	violations      []string
	sawEdits        bool // at least one entry held edits
}

func newSchedule(t *rapid.T, skipBaseCheck bool) *schedule {
	s := &schedule{
		t: t, clock: &instantClock{now: testStart}, log: newFakeLog(), skipBaseCheck: skipBaseCheck,
		rejected: map[string]bool{}, confirmed: map[string]oleanderline.Revision{},
		texts: map[string]string{},
	}
	s.common = testCommon(s.clock)
	const followers = 3
	s.followers = make([]*Follower, followers)
	s.highestRevision = make([]oleanderline.Revision, followers)
	for i := range s.followers {
		s.restart(i)
	}
	return s
}

func (s *schedule) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// peersOf returns a function that collects the snapshots of the other followers.
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
	s.highestRevision[i] = 0
	s.followers[i] = NewFollower(s.common, s.log, WithPeers(s.peersOf(i)),
		WithRepublish(time.Hour, fmt.Sprintf("own-%d", i)), WithOnChange(func(set *Set) {
			if set.Revision <= s.highestRevision[i] {
				s.addViolation("follower %d went from revision %d to %d", i, s.highestRevision[i], set.Revision)
			}
			s.highestRevision[i] = set.Revision
		}))
	s.followers[i].acceptor.skipBaseCheck = s.skipBaseCheck
	s.followers[i].Step(context.Background())
}

// publish publishes a new text. Its base is the revision of a random follower, which may be stale.
func (s *schedule) publish(depth int) {
	s.published++
	n := s.published
	base := s.followers[rapid.IntRange(0, len(s.followers)-1).Draw(s.t, "base of follower")].Snapshot().Revision
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.clock.timersLeft, s.clock.cancel = 5, cancel
	defer func() { s.clock.cancel = nil }()
	publisher := NewPublisher(s.common, s.log, WithPeers(s.peersOf(-1)))
	publisher.follower.acceptor.skipBaseCheck = s.skipBaseCheck
	publisher.minTextForEdits, publisher.fullTextEvery = 0, 4
	s.log.beforeAppend = func() {
		s.log.beforeAppend = nil
		fault := rapid.SampledFrom([]string{"", "conflict", "lose reply", "delay append", "down"}).Draw(s.t, "fault")
		switch {
		case fault == "conflict" && depth < 3:
			cancelOfOuter := s.clock.cancel
			s.publish(depth + 1)
			s.clock.timersLeft, s.clock.cancel = 5, cancelOfOuter
			s.log.beforeAppend = nil
		case fault == "lose reply":
			s.log.loseReply = true
		case fault == "delay append":
			s.log.delayAppend = true
		case fault == "down":
			s.log.down = true
		}
	}
	request := Request{ID: fmt.Sprintf("id-%d", n), Base: base, By: fmt.Sprintf("operator-%d", n), Text: s.drawText(n)}
	s.texts[request.ID] = request.Text
	receipt, err := publisher.Publish(ctx, request)
	s.log.beforeAppend = nil
	var conflict *ConflictError
	switch {
	case err == nil:
		s.confirmed[request.ID] = receipt.Revision
	case errors.As(err, &conflict), errors.Is(err, oleanderline.ErrUnavailable), errors.Is(err, ErrUnsettled):
		s.rejected[request.ID] = true
	default:
		require.ErrorIs(s.t, err, ErrOutcomeUnknown)
	}
}

// drawText returns a text that shares most of its lines with the others, so that edits are shorter than the full text.
func (s *schedule) drawText(n int) string {
	lines := []string{fmt.Sprintf("limit service=s rate=%d # x\n", n)}
	for i := range 8 {
		lines = append(lines, fmt.Sprintf("drain vm=w-%d # a long comment that does not change from one revision to the next\n", i))
	}
	first := rapid.IntRange(0, len(lines)-1).Draw(s.t, "first line")
	return strings.Join(append(lines[first:], lines[:first]...), "")
}

func (s *schedule) step() {
	i := rapid.IntRange(0, len(s.followers)-1).Draw(s.t, "follower")
	switch rapid.SampledFrom([]string{"publish", "publish", "follow", "follow all", "restart", "down", "up", "retention", "deliver delayed", "wait"}).Draw(s.t, "step") {
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
	case "retention":
		s.log.retain(oleanderline.Offset(rapid.IntRange(1, len(s.log.entries)+1).Draw(s.t, "oldest")))
	case "deliver delayed":
		s.log.deliverDelayed()
	case "wait":
		s.clock.now = s.clock.now.Add(40 * time.Minute)
	}
}

// finish ends all faults, lets every follower read to the end, and compares the followers with the whole stream. As time
// advances, followers may republish the rules, so they read until none of them has appended an entry.
func (s *schedule) finish() {
	s.log.down = false
	s.log.deliverDelayed()
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
	accepted, newest := s.acceptedRevisions()
	settled := false
	for _, f := range s.followers {
		settled = settled || f.Status().Settled
	}
	for i, f := range s.followers {
		snapshot := f.Snapshot()
		if settled && snapshot.Revision != newest {
			s.addViolation("follower %d holds revision %d, not %d", i, snapshot.Revision, newest)
		}
		id, ok := accepted[snapshot.Revision]
		if !ok && snapshot.Revision > 0 {
			s.addViolation("follower %d holds revision %d, which was never accepted", i, snapshot.Revision)
		}
		if text, ok := s.texts[id]; ok && text != snapshot.Text {
			s.addViolation("follower %d holds another text for revision %d than %s published", i, snapshot.Revision, id)
		}
	}
	for revision, id := range accepted {
		if s.rejected[id] {
			s.addViolation("revision %d is in force, but its publisher was told that nothing was published", revision)
		}
	}
	for id, revision := range s.confirmed {
		if accepted[revision] != id && !strings.HasPrefix(accepted[revision], republishPrefix) {
			s.addViolation("%s was told that it is revision %d, which is %s", id, revision, accepted[revision])
		}
	}
}

// acceptedRevisions returns the accepted revisions of the whole stream, according to the check of the base alone. The fake
// log keeps all entries, including those that its retention hides from readers.
func (s *schedule) acceptedRevisions() (accepted map[oleanderline.Revision]string, newest oleanderline.Revision) {
	accepted = map[oleanderline.Revision]string{}
	for _, logEntry := range s.log.entries {
		e, err := DecodeEntry(logEntry.Data)
		require.NoError(s.t, err)
		s.sawEdits = s.sawEdits || !e.HasFullText()
		if e.Base == newest {
			newest = oleanderline.Revision(logEntry.Offset)
			accepted[newest] = e.ID
		}
	}
	return accepted, newest
}

func runSchedule(t *rapid.T, skipBaseCheck bool) *schedule {
	s := newSchedule(t, skipBaseCheck)
	for range rapid.IntRange(5, 30).Draw(t, "steps") {
		s.step()
	}
	s.finish()
	return s
}

// schedulesPerCheck is the number of schedules per rapid check: CI runs 100 checks, which makes 1,000 schedules.
const schedulesPerCheck = 10

// Guards against followers that end on different revisions, a revision that goes back, a change that is overwritten, and a
// publisher that is told a wrong outcome.
func TestEveryScheduleEndsOnOneRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range schedulesPerCheck {
			require.Empty(t, runSchedule(t, false).violations)
		}
	})
}

// Verifies that the test above can fail: without the check of the base it must find violations.
func TestSchedulesFailWithoutTheBaseCheck(t *testing.T) {
	failed, edits := 0, 0
	for seed := range 50 {
		s := rapid.Custom(func(t *rapid.T) *schedule { return runSchedule(t, true) }).Example(seed)
		if len(s.violations) > 0 {
			failed++
		}
		if s.sawEdits {
			edits++
		}
	}
	require.Positive(t, failed)
	require.Positive(t, edits, "schedules publish edits as well as full texts")
	t.Logf("%d of 50 schedules failed without the check, %d published edits", failed, edits)
}
