package roster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

const (
	testTerm  oleanderline.Term = 7
	testLease                   = 4 * time.Second
	testAgent oleanderline.VMID = "vm1"
)

// recorder keeps what a leader learns.
type recorder struct {
	mu      sync.Mutex
	reports []time.Time // when they were asked for
	results []plan.Result
	lapsed  int
}

func (r *recorder) Report(_ oleanderline.WorkerID, _ oleanderline.WorkerReport, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, sent)
}

func (r *recorder) Result(result plan.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}
func (r *recorder) CallFailed(oleanderline.WorkerID, error) {}
func (r *recorder) LeaseExpired(oleanderline.WorkerID)      { r.lapsed++ }
func (r *recorder) Fenced(oleanderline.WorkerID)            {}

// newTestRoster returns a roster whose leader may give orders for a second from now on at any time.
func newTestRoster(events *recorder) *Roster {
	return New(common.NewSystemClock(), Settings{
		Term: testTerm, Lease: testLease,
		AuthorityEnd: func(now time.Time) time.Time { return now.Add(time.Second) },
	}, events)
}

func pull(r *Roster, invitation, got int64) agent.PullReply {
	return r.Pull(context.Background(), agent.PullRequest{Agent: testAgent, Term: testTerm, Invitation: invitation, Got: got})
}

func startOf(job oleanderline.JobID, index int) plan.Order {
	key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: job, Index: index}, Run: 1}
	return plan.Order{Kind: plan.OrderStart, Worker: "w", Key: key, Payload: "payload of " + string(job)}
}

// Guards against orders that vanish when a reply is lost on its way: items are sent again until the agent has got them.
func TestItemsAreRepeatedUntilTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		number := r.Invite(testAgent)
		r.Serve(testAgent, "w", "addr", time.Time{}, plan.Acked{}).Order(startOf("j", 0))
		lost := pull(r, number, 0)
		require.Len(t, lost.Items, 2)
		require.Equal(t, lost.Items, pull(r, number, 0).Items)
		require.Empty(t, pull(r, number, lost.Items[1].Number).Items)
	})
}

// Guards against an agent that goes on under an earlier invitation and takes the numbers of new items for old ones, so that
// its workers are never served.
func TestEarlierInvitationIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		first := r.Invite(testAgent)
		require.True(t, pull(r, first, 0).Known)
		time.Sleep(lostAfter)
		r.Lost(time.Now())
		second := r.Invite(testAgent)
		require.False(t, pull(r, first, 0).Known)
		require.False(t, r.Push(agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: first, Number: 1}).Known)
		require.True(t, pull(r, second, 0).Known)
	})
}

// Guards against a message of another term, or of a process that was never invited, that has an effect.
func TestStrangersAreUnknown(t *testing.T) {
	type scenario struct {
		name    string
		request agent.PullRequest
	}
	r := newTestRoster(&recorder{})
	number := r.Invite(testAgent)
	for _, s := range []scenario{
		{"older term", agent.PullRequest{Agent: testAgent, Term: testTerm - 1, Invitation: number}},
		{"newer term", agent.PullRequest{Agent: testAgent, Term: testTerm + 1, Invitation: number}},
		{"not invited", agent.PullRequest{Agent: "vm2", Term: testTerm, Invitation: number}},
		{"no invitation", agent.PullRequest{Agent: testAgent, Term: testTerm}},
	} {
		t.Run(s.name, func(t *testing.T) {
			require.Equal(t, agent.PullReply{}, r.Pull(context.Background(), s.request))
			push := agent.PushRequest{Agent: s.request.Agent, Term: s.request.Term, Invitation: s.request.Invitation, Number: 1}
			require.False(t, r.Push(push).Known)
		})
	}
}

// Guards against an order without a result when its agent is lost, and against taking it as not carried out: the agent may
// have sent it.
func TestOrdersOfALostAgentAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &recorder{}
		r := newTestRoster(events)
		number := r.Invite(testAgent)
		w := r.Serve(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		w.Order(startOf("j", 0))
		pull(r, number, 0)
		granted := time.Now().Add(time.Second)
		time.Sleep(lostAfter)
		require.Equal(t, []oleanderline.WorkerID{"w"}, r.Lost(time.Now()))
		end := w.Close()
		synctest.Wait()
		require.Len(t, events.results, 1)
		require.ErrorIs(t, events.results[0].Err, oleanderline.ErrUncertain)
		require.Greater(t, events.results[0].Attempts, 1)
		require.False(t, end.Before(granted.Add(testLease)), "the agent may renew leases until its permission ends")
	})
}

// Guards against a batch of events that is taken in twice after its answer was lost, and against events about a worker that
// another process serves by now.
func TestEventsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &recorder{}
		r := newTestRoster(events)
		number := r.Invite(testAgent)
		w := r.Serve(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		order := startOf("j", 0)
		w.Order(order)
		push := agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: number, Number: 1, Events: []agent.Event{
			{Kind: agent.EventResult, Worker: "w", Serves: w.serves, Order: order, Attempts: 1},
			{Kind: agent.EventReport, Worker: "w", Serves: w.serves, Sent: time.Now().Add(time.Hour)},
			{Kind: agent.EventLeaseExpired, Worker: "w", Serves: w.serves - 1},
		}}
		require.True(t, r.Push(push).Known)
		require.True(t, r.Push(push).Known)
		require.Len(t, events.results, 1)
		require.Equal(t, []time.Time{time.Now()}, events.reports, "a report is never asked for in the future")
		require.Zero(t, events.lapsed)
	})
}

// Guards against a payload that is sent with every task of a job, which fills the link of a small VM.
func TestPayloadIsSentOnceForEachJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		number := r.Invite(testAgent)
		w := r.Serve(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		for i := range 3 {
			w.Order(startOf("j", i))
		}
		sent := 0
		for _, item := range pull(r, number, 0).Items {
			if item.Order.Payload != "" {
				sent++
			}
		}
		require.Equal(t, 1, sent)
	})
}

// slowEvents take their time for each report.
type slowEvents struct {
	recorder
	order []int64 // the lives in the reports, in the order in which they were taken in
}

func (s *slowEvents) Report(_ oleanderline.WorkerID, report oleanderline.WorkerReport, _ time.Time) {
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = append(s.order, int64(report.Life))
}

// Guards against reports that overtake one another: while a leader is busy with a batch, its agent repeats it, takes the answer
// for that of the first call and sends the next batch.
func TestBatchesAreTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &slowEvents{}
		r := New(common.NewSystemClock(), Settings{Term: testTerm, AuthorityEnd: func(now time.Time) time.Time { return now }}, events)
		number := r.Invite(testAgent)
		w := r.Serve(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		batch := func(n int64) agent.PushRequest {
			reports := []agent.Event{}
			for i := range int64(2) {
				report := oleanderline.WorkerReport{Life: oleanderline.WorkerLife(10*n + i)}
				reports = append(reports, agent.Event{Kind: agent.EventReport, Worker: "w", Serves: w.serves, Report: report})
			}
			return agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: number, Number: n, Events: reports}
		}
		var calls sync.WaitGroup
		calls.Go(func() { r.Push(batch(1)) }) // the agent does not wait for this answer
		time.Sleep(2 * time.Second)
		require.True(t, r.Push(batch(1)).Known)
		require.True(t, r.Push(batch(2)).Known)
		calls.Wait()
		require.Equal(t, []int64{10, 11, 20, 21}, events.order)
	})
}
