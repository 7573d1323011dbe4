package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func testMinions(count int) []Minion {
	minions := make([]Minion, count)
	for i := range minions {
		minions[i] = Minion{ID: oleanderline.MinionID(fmt.Sprintf("m-%d", i)), Service: "s", Slots: 2}
	}
	return minions
}

// singleEntryCore returns the Core of a single entry after the drain time, for which a new entry waits before it uses
// slots.
func singleEntryCore(minions int, change func(*Settings)) (*Core, time.Time) {
	settings := DefaultSettings()
	if change != nil {
		change(&settings)
	}
	c := New(WithSettings(settings), WithRand(rand.New(rand.NewPCG(1, 2))))
	c.SetMembers("e-1", []oleanderline.VMID{"e-1"}, start, nil)
	c.SetMinions(testMinions(minions), start, nil)
	now := start.Add(settings.Slots.Drain)
	c.Tick(now, nil)
	return c, now
}

// Guards against a request that is lost or sent twice between arrival, queueing and completion.
func TestCoreSendsQueuedRequestsWhenASlotGetsFree(t *testing.T) {
	c, now := singleEntryCore(1, func(s *Settings) { s.Admit.MaxQueued = 1 })
	request := func(id RequestID) Request {
		return Request{ID: id, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}
	}
	var actions []Action
	for id := RequestID(1); id <= 4; id++ {
		actions = c.Arrive(request(id), now, actions)
	}
	require.Len(t, actions, 3)
	require.Equal(t, ActionSend, actions[0].Kind)
	require.Equal(t, ActionSend, actions[1].Kind)
	require.Equal(t, Action{Kind: ActionRefuse, Request: 4, Reason: ReasonQueueFull}, withoutRetryAfter(actions[2]))
	require.Equal(t, 1, c.Queued("s"))

	actions = c.Done(Completion{Request: 1, Minion: "m-0", Result: oleanderline.ResultAnswered}, now, nil)
	require.Equal(t, []Action{{Kind: ActionSend, Request: 3, Minion: "m-0"}}, actions)
	require.Equal(t, 0, c.Queued("s"))
	require.Equal(t, 2, c.InFlight("s"))
}

// Guards against requests that stay queued although they can no longer be answered before their deadline.
func TestCoreRefusesAtTheDeadline(t *testing.T) {
	c, now := singleEntryCore(1, func(s *Settings) { s.Admit.RefuseEarly = false })
	for id := RequestID(1); id <= 3; id++ {
		c.Arrive(Request{ID: id, Service: "s", Arrived: now, Deadline: now.Add(100 * time.Millisecond)}, now, nil)
	}
	require.Empty(t, c.Tick(now.Add(50*time.Millisecond), nil))
	actions := c.Tick(now.Add(100*time.Millisecond), nil)
	require.Len(t, actions, 1)
	require.Equal(t, Action{Kind: ActionRefuse, Request: 3, Reason: ReasonDeadline}, withoutRetryAfter(actions[0]))
}

func withoutRetryAfter(a Action) Action {
	a.RetryAfter = 0
	return a
}

// Guards against an ejected minion that is missing from the count, and against one that is counted although it is no
// longer listed.
func TestEjectedCountsListedMinions(t *testing.T) {
	c, now := singleEntryCore(3, nil)
	require.Zero(t, c.Ejected())
	for id := RequestID(1); id <= 60 && c.Ejected() == 0; id++ {
		now = now.Add(10 * time.Millisecond)
		for _, a := range c.Arrive(Request{ID: id, Service: "s", Arrived: now}, now, c.Tick(now, nil)) {
			if a.Kind == ActionSend {
				failed := a.Minion == "m-0"
				c.Done(Completion{Request: a.Request, Minion: a.Minion, Result: oleanderline.ResultUnknown, Failed: failed}, now, nil)
			}
		}
	}
	require.Equal(t, 1, c.Ejected())
	c.SetMinions(testMinions(3)[1:], now, nil)
	require.Zero(t, c.Ejected())
}
