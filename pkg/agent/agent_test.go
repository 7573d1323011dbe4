package agent

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// fakeLeader answers pulls after a delay, with a permission of a second, and hands out items once.
type fakeLeader struct {
	mu     sync.Mutex
	delay  time.Duration
	silent bool
	items  []Item
	events []Event
}

func (l *fakeLeader) Pull(context.Context, string, PullRequest) (PullReply, error) {
	l.mu.Lock()
	reply := PullReply{Known: true, Now: time.Now(), Authority: time.Second, Items: l.items}
	delay, silent := l.delay, l.silent
	l.items = nil
	l.mu.Unlock()
	time.Sleep(delay + 10*time.Millisecond)
	if silent {
		return PullReply{}, oleanderline.ErrUncertain
	}
	return reply, nil
}

func (l *fakeLeader) Push(_ context.Context, _ string, request PushRequest) (PushReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, request.Events...)
	return PushReply{Known: true}, nil
}

func (l *fakeLeader) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// fakeRunner answers every call and keeps what the tests look at.
type fakeRunner struct {
	mu       sync.Mutex
	last     time.Time // of a hold
	payloads []string  // of the starts
}

func (r *fakeRunner) Start(_ context.Context, order oleanderline.StartRun) (oleanderline.WorkerTime, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.payloads = append(r.payloads, order.Payload)
	return 1, nil
}

func (r *fakeRunner) Stop(context.Context, oleanderline.StopRun) (oleanderline.WorkerTime, error) {
	return 1, nil
}

func (r *fakeRunner) Pace(context.Context, oleanderline.PaceRun) (oleanderline.WorkerTime, error) {
	return 1, nil
}
func (r *fakeRunner) Close() {}

func (r *fakeRunner) Hold(context.Context, oleanderline.HoldRuns) (oleanderline.WorkerReport, error) {
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = time.Now()
	return oleanderline.WorkerReport{Life: 1, Clock: 1}, nil
}

func (r *fakeRunner) lastHold() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

var testInvitation = Invitation{Term: 3, Number: 1, Address: "leader", Lease: 4 * time.Second}

func startAgent(t *testing.T, leader *fakeLeader, runner *fakeRunner) *Agent {
	t.Helper()
	c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	a := New(c, "vm1", func(oleanderline.WorkerID, string) oleanderline.Runner { return runner }, leader)
	require.NoError(t, a.Invite(testInvitation))
	return a
}

// Guards against an agent that acts on a permission which has run out: the time on the way of a reply does not extend it,
// and without replies it ends.
func TestPermissionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, runner := &fakeLeader{items: []Item{{Number: 1, Kind: ItemServe, Worker: "w"}}}, &fakeRunner{}
		a := startAgent(t, leader, runner)
		defer a.Stop()
		time.Sleep(500 * time.Millisecond)
		require.NotZero(t, runner.lastHold())
		leader.set(func() { leader.silent = true })
		silence := time.Now()
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, runner.lastHold().Sub(silence), time.Second+50*time.Millisecond)

		leader.set(func() { leader.silent, leader.delay = false, 1200*time.Millisecond })
		late := time.Now()
		time.Sleep(1500 * time.Millisecond)
		require.Less(t, runner.lastHold(), late, "a reply on its way for longer than the permission permits nothing")
	})
}

// Guards against reports that seem to have been asked for later than they were, by which a start could be taken as lost.
func TestReportsAreNeverDatedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, runner := &fakeLeader{delay: 100 * time.Millisecond}, &fakeRunner{}
		a := startAgent(t, leader, runner)
		defer a.Stop()
		leader.set(func() { leader.items = []Item{{Number: 1, Kind: ItemServe, Worker: "w"}} })
		time.Sleep(2 * time.Second)
		leader.set(func() {
			require.NotEmpty(t, leader.events)
			for _, event := range leader.events {
				require.False(t, event.Sent.After(time.Now()))
			}
		})
	})
}

// Guards against a task that gets no payload because an earlier task of its job has brought it.
func TestPayloadIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := plan.Order{Kind: plan.OrderStart, Worker: "w", Payload: "spec"}
		second := first
		first.Key.Task.Index, second.Payload = 1, ""
		leader, runner := &fakeLeader{items: []Item{{Number: 1, Kind: ItemServe, Worker: "w"}}}, &fakeRunner{}
		a := startAgent(t, leader, runner)
		defer a.Stop()
		time.Sleep(100 * time.Millisecond)
		leader.set(func() {
			leader.items = []Item{
				{Number: 2, Kind: ItemOrder, Worker: "w", Order: first, At: time.Now()},
				{Number: 3, Kind: ItemOrder, Worker: "w", Order: second, At: time.Now()},
			}
		})
		time.Sleep(100 * time.Millisecond)
		runner.mu.Lock()
		defer runner.mu.Unlock()
		require.Equal(t, []string{"spec", "spec"}, runner.payloads)
	})
}

// Guards against an invitation that was on its way for long and brings back an earlier leader, or an earlier state.
func TestOldInvitationIsRefused(t *testing.T) {
	type scenario struct {
		name       string
		invitation Invitation
		err        error
	}
	for _, s := range []scenario{
		{"repeated", testInvitation, nil},
		{"earlier term", Invitation{Term: 2, Number: 9}, ErrOldInvitation},
		{"earlier number", Invitation{Term: 3, Number: 0}, ErrOldInvitation},
		{"later number", Invitation{Term: 3, Number: 2}, nil},
		{"later term", Invitation{Term: 4, Number: 0}, nil},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startAgent(t, &fakeLeader{}, &fakeRunner{})
				defer a.Stop()
				require.ErrorIs(t, a.Invite(s.invitation), s.err)
			})
		})
	}
}

// Guards against ends that are lost because a newer report replaced the one that listed them: a new life lists none.
func TestReportsOfAnotherLifeAreKept(t *testing.T) {
	o := newOutbox()
	for _, life := range []oleanderline.WorkerLife{1, 1, 2} {
		o.add(Event{Kind: EventReport, Worker: "w", Report: oleanderline.WorkerReport{Life: life}})
	}
	require.Len(t, o.take(context.Background()), 2)
}

// Guards against an error that changes its meaning on the way: "not sent" must stay apart from "maybe carried out".
func TestFailuresKeepTheirMeaning(t *testing.T) {
	require.NoError(t, FailureOf(nil).Err())
	require.ErrorIs(t, FailureOf(oleanderline.ErrUncertain).Err(), oleanderline.ErrUncertain)
	require.ErrorIs(t, FailureOf(oleanderline.ErrUnavailable).Err(), oleanderline.ErrUnavailable)
	require.ErrorIs(t, Failure{Kind: 99}.Err(), oleanderline.ErrUncertain)
	require.NotEmpty(t, Failure{Kind: FailureRefused, Refusal: 99}.Err().Error(), "a reason of a newer version ends no process")
	var refused *oleanderline.RefusedError
	require.ErrorAs(t, FailureOf(&oleanderline.RefusedError{Reason: oleanderline.RefusedRoom}).Err(), &refused)
	require.Equal(t, oleanderline.RefusedRoom, refused.Reason)
}
