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
	testTerm     oleanderline.Term = 7
	testLease                      = 4 * time.Second
	testMaxLease                   = 6 * time.Second
	testAgent    oleanderline.VMID = "vm1"
)

// recorder is a link.Events that records results and when reports were requested, and counts expired leases.
type recorder struct {
	mu      sync.Mutex
	reports []time.Time // when each was requested
	results []plan.Result
	expired int
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
func (r *recorder) CallFailed(oleanderline.WorkerID, error)         {}
func (r *recorder) Replaced(oleanderline.WorkerID, time.Time)       {}
func (r *recorder) LeaseExpired(oleanderline.WorkerID, plan.Expiry) { r.expired++ }
func (r *recorder) Fenced(oleanderline.WorkerID)                    {}

// newTestRoster returns a roster whose leader always has one more second of authority.
func newTestRoster(events *recorder) *Roster {
	return New(common.NewSystemClock(), Settings{
		Term: testTerm, Lease: testLease, MaxLease: testMaxLease,
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

// Guards against orders that are lost with a reply: items are sent again until the agent confirms their receipt.
func TestItemsAreRepeatedUntilTheyArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		number := r.AddInvited(testAgent)
		r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{}).Order(startOf("j", 0))
		lost := pull(r, number, 0)
		require.Len(t, lost.Items, 2)
		require.Equal(t, lost.Items, pull(r, number, 0).Items)
		require.Empty(t, pull(r, number, lost.Items[1].Number).Items)
	})
}

// Guards against an agent that continues under an earlier invitation and mistakes new items for repeated ones because of their
// numbers, so that its workers are never served.
func TestEarlierInvitationIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		first := r.AddInvited(testAgent)
		require.True(t, pull(r, first, 0).Known)
		time.Sleep(agentTimeout)
		r.RemoveLost(time.Now())
		second := r.AddInvited(testAgent)
		require.False(t, pull(r, first, 0).Known)
		require.False(t, r.Push(agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: first, Number: 1}).Known)
		require.True(t, pull(r, second, 0).Known)
	})
}

// Guards against messages that have an effect although they belong to another term or come from a process that was never invited.
func TestUnknownSendersAreRejected(t *testing.T) {
	type scenario struct {
		name    string
		request agent.PullRequest
	}
	r := newTestRoster(&recorder{})
	number := r.AddInvited(testAgent)
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

// Guards against orders that have no result or count as not executed when their agent is lost: the agent may have sent them.
func TestOrdersOfALostAgentAreUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &recorder{}
		r := newTestRoster(events)
		number := r.AddInvited(testAgent)
		w := r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		w.Order(startOf("j", 0))
		pull(r, number, 0)
		granted := time.Now().Add(time.Second)
		time.Sleep(agentTimeout)
		require.Equal(t, []oleanderline.WorkerID{"w"}, r.RemoveLost(time.Now()))
		end := w.Close()
		synctest.Wait()
		require.Len(t, events.results, 1)
		require.ErrorIs(t, events.results[0].Err, oleanderline.ErrUncertain)
		require.Greater(t, events.results[0].Attempts, 1)
		require.False(t, end.Before(granted.Add(testLease)), "the agent may renew leases until its authority ends")
	})
}

// Guards against a run that goes on after its lease counts as expired: a lost agent may have started it on a worker that has restarted,
// which accepts its longest lease. A worker without a start in flight must not cost more than the lease.
func TestStartInFlightOfALostAgentHasTheLongestLease(t *testing.T) {
	for _, s := range []struct {
		name  string
		order plan.Order
		lease time.Duration
	}{
		{"start", startOf("j", 0), testMaxLease},
		{"stop", plan.Order{Kind: plan.OrderStop, Worker: "w"}, testLease},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRoster(&recorder{})
				number := r.AddInvited(testAgent)
				w := r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{})
				w.Order(s.order)
				pull(r, number, 0)
				granted := time.Now().Add(time.Second)
				time.Sleep(agentTimeout)
				require.Equal(t, []oleanderline.WorkerID{"w"}, r.RemoveLost(time.Now()))
				end := w.Close()
				synctest.Wait()
				require.False(t, end.Before(granted.Add(s.lease)))
				require.True(t, end.Before(time.Now().Add(s.lease+time.Second)))
			})
		})
	}
}

// Guards against tasks that are released too early after two agents of a worker were lost in a row: the first may have granted
// leases that last longer than all that the second can have granted.
func TestEarlierLeasesOutliveALaterAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		r.AddInvited(testAgent)
		earlier := time.Now().Add(time.Minute)
		require.Equal(t, earlier, r.Assign(testAgent, "w", "addr", earlier, plan.Acked{}).Close())
	})
}

// Guards against a batch of events that is handled twice because its answer was lost, and against events about a worker that
// is now served under another assignment.
func TestEventsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &recorder{}
		r := newTestRoster(events)
		number := r.AddInvited(testAgent)
		w := r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		order := startOf("j", 0)
		w.Order(order)
		push := agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: number, Number: 1, Events: []agent.Event{
			{Kind: agent.EventResult, Worker: "w", Serves: w.assignment, Order: order, Attempts: 1},
			{Kind: agent.EventReport, Worker: "w", Serves: w.assignment, Sent: time.Now().Add(time.Hour)},
			{Kind: agent.EventLeaseExpired, Worker: "w", Serves: w.assignment - 1},
		}}
		require.True(t, r.Push(push).Known)
		require.True(t, r.Push(push).Known)
		require.Len(t, events.results, 1)
		require.Equal(t, []time.Time{time.Now()}, events.reports, "the request time of a report must not be in the future")
		require.Zero(t, events.expired)
	})
}

// Guards against a payload that is sent with every task of a job, which saturates the network link of a small VM.
func TestPayloadIsSentOnceForEachJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		number := r.AddInvited(testAgent)
		w := r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{})
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

// slowEvents is a recorder that takes 3 s to handle a report.
type slowEvents struct {
	recorder
	incarnations []int64 // from the reports, in the order in which they were handled
}

func (s *slowEvents) Report(_ oleanderline.WorkerID, report oleanderline.WorkerReport, _ time.Time) {
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations = append(s.incarnations, int64(report.Life))
}

// Guards against reports that are handled out of order: while the leader is handling a batch, the agent repeats the batch, gets
// an answer for the repetition and sends the next batch.
func TestBatchesAreTakenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events := &slowEvents{}
		r := New(common.NewSystemClock(), Settings{Term: testTerm, AuthorityEnd: func(now time.Time) time.Time { return now }}, events)
		number := r.AddInvited(testAgent)
		w := r.Assign(testAgent, "w", "addr", time.Time{}, plan.Acked{})
		batch := func(n int64) agent.PushRequest {
			reports := []agent.Event{}
			for i := range int64(2) {
				report := oleanderline.WorkerReport{Life: oleanderline.WorkerIncarnation(10*n + i)}
				reports = append(reports, agent.Event{Kind: agent.EventReport, Worker: "w", Serves: w.assignment, Report: report})
			}
			return agent.PushRequest{Agent: testAgent, Term: testTerm, Invitation: number, Number: n, Events: reports}
		}
		var calls sync.WaitGroup
		calls.Go(func() { r.Push(batch(1)) }) // the agent does not wait for this answer
		time.Sleep(2 * time.Second)
		require.True(t, r.Push(batch(1)).Known)
		require.True(t, r.Push(batch(2)).Known)
		calls.Wait()
		require.Equal(t, []int64{10, 11, 20, 21}, events.incarnations)
	})
}

// Guards against the end of a term whose log line does not show for how long an agent may still send orders.
func TestAuthorityEndIsThatOfTheAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRoster(&recorder{})
		require.Zero(t, r.AuthorityEnd())
		pull(r, r.AddInvited(testAgent), 0)
		require.Equal(t, time.Now().Add(time.Second), r.AuthorityEnd())
	})
}
