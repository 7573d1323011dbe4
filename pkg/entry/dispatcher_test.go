package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
)

// Guards against a request that has to wait for the long idle tick, so that its slots are borrowed or it is refused too
// late.
func TestWaitingRequestEndsIdleTick(t *testing.T) {
	clock := common.NewVirtualClock(time.Unix(1000, 0))
	d := newDispatcher(common.New("test", common.WithClock(clock)), dispatch.New(), func(oleanderline.MinionID) {})
	d.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		// The peer has sent no statement yet, so this entry has no slots.
		actions = core.SetMembers("own-1", []oleanderline.VMID{"own-1", "own-2"}, now, actions)
		return core.Tick(now, actions)
	})
	require.Equal(t, dispatch.IdleTick, d.tickDelay())
	require.Empty(t, d.wake)
	d.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.SetMinions([]dispatch.Minion{{ID: "m-1", Service: "s", Slots: 100}}, now, actions)
	})
	require.Len(t, d.wake, 1, "the peer has to confirm the slots of the new minion")
	<-d.wake
	require.Equal(t, tickInterval, d.tickDelay())

	lone := newDispatcher(common.New("test", common.WithClock(clock)), dispatch.New(), func(oleanderline.MinionID) {})
	lone.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		actions = core.SetMembers("own-1", []oleanderline.VMID{"own-1"}, now, actions)
		return core.SetMinions([]dispatch.Minion{{ID: "m-1", Service: "s", Slots: 1}}, now, actions)
	})
	clock.Advance(time.Minute)
	lone.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.Tick(now, actions)
	})
	require.Equal(t, dispatch.IdleTick, lone.tickDelay())
	now := clock.Now()
	request := dispatch.Request{Service: "s", Arrived: now, Deadline: now.Add(time.Minute)}
	first := lone.arrive(request)
	require.Len(t, lone.wake, 1)
	<-lone.wake
	lone.arrive(request)
	require.Equal(t, tickInterval, lone.tickDelay(), "one request runs and one waits")
	require.Empty(t, lone.wake, "the core was not idle")
	require.Equal(t, dispatch.ActionSend, (<-first.decision).Kind)
}
