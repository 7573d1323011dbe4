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

// fakeLeader answers pulls after a delay, grants an authority of 1 s and sends each item once.
type fakeLeader struct {
	mu          sync.Mutex
	delay       time.Duration
	unreachable bool
	items       []Item
	events      []Event
}

func (l *fakeLeader) Pull(context.Context, string, PullRequest) (PullReply, error) {
	l.mu.Lock()
	reply := PullReply{Known: true, Now: time.Now(), Authority: time.Second, Items: l.items}
	delay, unreachable := l.delay, l.unreachable
	l.items = nil
	l.mu.Unlock()
	time.Sleep(delay + 10*time.Millisecond)
	if unreachable {
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

// fakeRunner answers every call, and records the payloads of starts and the time of the last renew call.
type fakeRunner struct {
	mu            sync.Mutex
	lastRenewalAt time.Time // time of the last renew call
	payloads      []string  // of starts
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

func (r *fakeRunner) Throttle(context.Context, oleanderline.ThrottleRun) (oleanderline.WorkerTime, error) {
	return 1, nil
}
func (r *fakeRunner) Close() {}

func (r *fakeRunner) Renew(context.Context, oleanderline.RenewRuns) (oleanderline.WorkerReport, error) {
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRenewalAt = time.Now()
	return oleanderline.WorkerReport{Life: 1, Clock: 1}, nil
}

func (r *fakeRunner) lastRenewal() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastRenewalAt
}

var testInvitation = Invitation{Term: 3, Number: 1, Address: "leader", Lease: 4 * time.Second}

func startAgent(t *testing.T, leader *fakeLeader, runner *fakeRunner) *Agent {
	t.Helper()
	return startLoggingAgent(t, leader, runner, io.Discard)
}

func startLoggingAgent(t *testing.T, leader *fakeLeader, runner *fakeRunner, log io.Writer) *Agent {
	t.Helper()
	c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(common.NewLogger(log, logrus.InfoLevel)))
	a := New(c, "vm1", func(oleanderline.WorkerID, string) oleanderline.Runner { return runner }, leader)
	require.NoError(t, a.Invite(testInvitation))
	return a
}

// Guards against an agent that calls workers after its authority has expired: without replies it expires, and a reply that is
// delayed on the network does not extend it.
func TestAuthorityEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, runner := &fakeLeader{items: []Item{{Number: 1, Kind: ItemAssign, Worker: "w"}}}, &fakeRunner{}
		a := startAgent(t, leader, runner)
		defer a.Stop()
		time.Sleep(500 * time.Millisecond)
		require.NotZero(t, runner.lastRenewal())
		leader.set(func() { leader.unreachable = true })
		unreachableSince := time.Now()
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, runner.lastRenewal().Sub(unreachableSince), time.Second+50*time.Millisecond)

		leader.set(func() { leader.unreachable, leader.delay = false, 1200*time.Millisecond })
		sentLate := time.Now()
		time.Sleep(1500 * time.Millisecond)
		require.Less(t, runner.lastRenewal(), sentLate, "a reply that is delayed for longer than its authority must grant none")
	})
}

// Guards against reports whose request time is later than the true one, which could make the leader consider a start lost.
func TestReportsAreNeverDatedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, runner := &fakeLeader{delay: 100 * time.Millisecond}, &fakeRunner{}
		a := startAgent(t, leader, runner)
		defer a.Stop()
		leader.set(func() { leader.items = []Item{{Number: 1, Kind: ItemAssign, Worker: "w"}} })
		time.Sleep(2 * time.Second)
		leader.set(func() {
			require.NotEmpty(t, leader.events)
			for _, event := range leader.events {
				require.False(t, event.Sent.After(time.Now()))
			}
		})
	})
}

// Guards against a task that starts without payload because an order for an earlier task of its job carried it.
func TestPayloadIsCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := plan.Order{Kind: plan.OrderStart, Worker: "w", Payload: "spec"}
		second := first
		first.Key.Task.Index, second.Payload = 1, ""
		leader, runner := &fakeLeader{items: []Item{{Number: 1, Kind: ItemAssign, Worker: "w"}}}, &fakeRunner{}
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

// Guards against a delayed invitation that makes the agent return to an earlier leader or an earlier invitation.
func TestOldInvitationIsRefused(t *testing.T) {
	type scenario struct {
		name       string
		invitation Invitation
		err        error
	}
	for _, s := range []scenario{
		{"repeated", testInvitation, nil},
		{"earlier term", Invitation{Term: 2, Number: 9}, ErrStaleInvitation},
		{"earlier number", Invitation{Term: 3, Number: 0}, ErrStaleInvitation},
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

// Guards against ends of runs that are lost because a newer report replaced the one that listed them: a report of a new
// incarnation does not list ends of the one before.
func TestReportsOfAnotherIncarnationAreKept(t *testing.T) {
	o := newOutbox()
	for _, incarnation := range []oleanderline.WorkerIncarnation{1, 1, 2} {
		o.add(Event{Kind: EventReport, Worker: "w", Report: oleanderline.WorkerReport{Life: incarnation}})
	}
	require.Len(t, o.take(context.Background()), 2)
}

// Guards against an error that changes its meaning when it is sent: "not executed" must stay distinct from "maybe executed".
func TestFailuresKeepTheirMeaning(t *testing.T) {
	require.NoError(t, FailureOf(nil).Err())
	require.ErrorIs(t, FailureOf(oleanderline.ErrUncertain).Err(), oleanderline.ErrUncertain)
	require.ErrorIs(t, FailureOf(oleanderline.ErrUnavailable).Err(), oleanderline.ErrUnavailable)
	require.ErrorIs(t, Failure{Kind: 99}.Err(), oleanderline.ErrUncertain)
	require.NotEmpty(t, Failure{Kind: FailureRefused, Refusal: 99}.Err().Error(), "a reason from a newer version must not cause a panic")
	var refused *oleanderline.RefusedError
	require.ErrorAs(t, FailureOf(&oleanderline.RefusedError{Reason: oleanderline.RefusedCapacity}).Err(), &refused)
	require.Equal(t, oleanderline.RefusedCapacity, refused.Reason)
}

// Guards against an agent that starts a task in a failure domain which its own reading says is out of service, on the order of a leader
// that does not know of it.
func TestAgentSendsNoStartToADomainOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order := plan.Order{Kind: plan.OrderStart, Worker: "w", Domain: "north", Payload: "spec"}
		leader, runner := &fakeLeader{items: []Item{{Number: 1, Kind: ItemAssign, Worker: "w"}}}, &fakeRunner{}
		c := common.New("test", common.WithClock(common.NewSystemClock()), common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
		dial := func(oleanderline.WorkerID, string) oleanderline.Runner { return runner }
		a := New(c, "vm1", dial, leader, WithDomains(func(domain oleanderline.DomainID) bool { return domain == "south" }))
		require.NoError(t, a.Invite(testInvitation))
		defer a.Stop()
		time.Sleep(500 * time.Millisecond)
		leader.set(func() { leader.items = []Item{{Number: 2, Kind: ItemOrder, Worker: "w", At: time.Now(), Order: order}} })
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Empty(t, runner.payloads)
		order.Domain = "south"
		leader.set(func() { leader.items = []Item{{Number: 3, Kind: ItemOrder, Worker: "w", At: time.Now(), Order: order}} })
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, []string{"spec"}, runner.payloads)
	})
}
