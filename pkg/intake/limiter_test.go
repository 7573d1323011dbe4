package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/record"
)

const (
	pass      = 20 * time.Millisecond // time between two scheduling passes
	passCount = 50                    // passes per second
)

// observe runs scheduling passes for a time. A number of starts is answered in each of them.
func observe(l *Limiter, now time.Time, held bool, startsPerPass int, duration time.Duration) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(pass) {
		for range startsPerPass {
			l.Answered()
		}
		l.Observe(held, now)
	}
	return now
}

// Guards against a backlog that the leader cannot start in time and for which no job is refused, and against refusals that it does
// not need: while starts are not the bound, before their rate is known, and of jobs that go before the backlog.
func TestVerdict(t *testing.T) {
	const startsPerPass = 2 // 100 starts per second
	type scenario struct {
		name     string
		held     bool
		duration time.Duration
		waiting  map[int]int
		want     record.Intake
	}
	for _, s := range []scenario{
		{"starts are not held up", false, 10 * time.Second, map[int]int{0: 5000}, record.Intake{}},
		{"a burst", true, time.Second, map[int]int{0: 5000}, record.Intake{}},
		{"started in time", true, 4 * time.Second, map[int]int{0: 100, 2: 440}, record.Intake{Rate: 100}},
		{"too many", true, 4 * time.Second, map[int]int{0: 5000}, record.Intake{Rate: 100, Refuse: true, RetryMS: 44000}},
		{"too many of a later priority", true, 4 * time.Second, map[int]int{0: 100, 2: 800}, record.Intake{Rate: 100, Refuse: true, From: 2, RetryMS: 3000}},
		{"too many with an earlier priority", true, 4 * time.Second, map[int]int{1: 500, 2: 200, 3: 1}, record.Intake{Rate: 100, Refuse: true, From: 2, RetryMS: 1010}},
		{"nothing known about workers", true, 4 * time.Second, nil, record.Intake{Rate: 100}},
	} {
		t.Run(s.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New(record.Intake{}, now)
			now = observe(l, now, s.held, startsPerPass, s.duration)
			got := l.Verdict(s.waiting, now)
			require.InDelta(t, s.want.Rate, got.Rate, 0.05*passCount)
			require.InDelta(t, s.want.RetryMS, got.RetryMS, 0.06*float64(s.want.RetryMS+maxWait.Milliseconds()))
			got.Rate, got.RetryMS = s.want.Rate, s.want.RetryMS
			require.Equal(t, s.want, got)
		})
	}
}

// Guards against refusals that outlast the overload.
func TestRefusalEndsWithTheBacklog(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(record.Intake{}, now)
	now = observe(l, now, true, 2, 4*time.Second)
	require.True(t, l.Verdict(map[int]int{0: 800}, now).Refuse)
	require.False(t, l.Verdict(map[int]int{0: 400}, now).Refuse)
	now = observe(l, now, false, 2, time.Second)
	require.False(t, l.Verdict(map[int]int{0: 5000}, now).Refuse, "starts are no longer held up")
}

// Guards against jobs that are refused in a burst because the leader was slow at an earlier time.
func TestOldRatesDoNotCount(t *testing.T) {
	type scenario struct {
		name   string
		pause  time.Duration
		refuse bool
	}
	for _, s := range []scenario{{"soon after", time.Second, true}, {"later", rateValidity, false}} {
		t.Run(s.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New(record.Intake{}, now)
			now = observe(l, now, true, 1, 4*time.Second)
			now = observe(l, now, false, 1, s.pause)
			now = observe(l, now, true, 20, time.Second)
			require.Equal(t, s.refuse, l.Verdict(map[int]int{0: 1000}, now).Refuse)
		})
	}
	l := New(record.Intake{Rate: 50}, time.Unix(1000, 0))
	now := observe(l, time.Unix(1000, 0), true, 20, time.Second)
	require.False(t, l.Verdict(map[int]int{0: 1000}, now).Refuse, "the last leader refused nothing")
}

// Guards against a rate that stays at what a leader could start earlier, or while no start is answered.
func TestRateFollowsTheAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(record.Intake{}, now)
	now = observe(l, now, true, 2, 4*time.Second)
	now = observe(l, now, true, 8, 10*time.Second)
	require.InDelta(t, 400, l.Verdict(nil, now).Rate, 20)
	now = observe(l, now, true, 0, 30*time.Second)
	require.InDelta(t, minRate, l.Verdict(nil, now).Rate, 1)
	require.True(t, l.Verdict(map[int]int{0: 10}, now).Refuse)
}

// Guards against a new leader that accepts jobs on top of a backlog until it has measured its own rate, and against one that refuses
// jobs for ever because the last leader did.
func TestNewLeaderInheritsARefusal(t *testing.T) {
	inherited := record.Intake{Rate: 100, Refuse: true, From: 2, RetryMS: 1000}
	backlog := map[int]int{2: 1000}
	start := time.Unix(1000, 0)
	type scenario struct {
		name    string
		prepare func(l *Limiter) time.Time
		waiting map[int]int
		want    bool
	}
	for _, s := range []scenario{
		{"before it may start tasks", func(*Limiter) time.Time { return start.Add(time.Second) }, nil, true},
		{"without known workers", func(l *Limiter) time.Time { return observe(l, start, false, 0, time.Second) }, nil, true},
		{"with the backlog", func(l *Limiter) time.Time { return observe(l, start, false, 1, time.Second) }, backlog, true},
		{"without a backlog", func(l *Limiter) time.Time { return observe(l, start, false, 1, time.Second) }, map[int]int{2: 10}, false},
		{"after having caught up", func(l *Limiter) time.Time {
			now := observe(l, start, false, 1, time.Second)
			require.False(t, l.Verdict(map[int]int{2: 10}, now).Refuse)
			return observe(l, now, false, 1, time.Second)
		}, backlog, false},
		{"for long without starts", func(*Limiter) time.Time { return start.Add(rateValidity) }, nil, false},
		{"for long with starts", func(l *Limiter) time.Time { return observe(l, start, false, 1, rateValidity) }, backlog, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			l := New(inherited, start)
			require.Equal(t, s.want, l.Verdict(s.waiting, s.prepare(l)).Refuse)
		})
	}
}
