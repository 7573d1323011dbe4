package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Guards against new requests to a minion that is leaving, no longer listed or drained by a rule with any kind of target,
// and against a drain rule that affects other minions.
func TestNoNewRequestsToLeavingMinions(t *testing.T) {
	drain := func(target rules.Target, from time.Time) *rules.Set {
		return &rules.Set{Drains: []rules.Drain{{Target: target, Window: rules.Window{From: from}}}}
	}
	list := func() []Minion {
		minions := testMinions(2)
		minions[0].Rack, minions[0].Domain = "r-1", "d-1"
		minions[1].Rack, minions[1].Domain = "r-2", "d-2"
		return minions
	}
	for _, s := range []struct {
		name   string
		change func(*Core, time.Time)
		left   int // slots that remain usable
	}{
		{"no change", func(*Core, time.Time) {}, 4},
		{"vm", func(c *Core, now time.Time) { c.SetRules(drain(rules.Target{VM: "m-0"}, now), now) }, 2},
		{"rack", func(c *Core, now time.Time) { c.SetRules(drain(rules.Target{Rack: "r-1"}, now), now) }, 2},
		{"domain", func(c *Core, now time.Time) { c.SetRules(drain(rules.Target{Domain: "d-1"}, now), now) }, 2},
		{"service", func(c *Core, now time.Time) { c.SetRules(drain(rules.Target{Service: "s"}, now), now) }, 0},
		{"other service", func(c *Core, now time.Time) { c.SetRules(drain(rules.Target{Service: "x"}, now), now) }, 4},
		{"rack of another domain", func(c *Core, now time.Time) {
			c.SetRules(drain(rules.Target{Rack: "r-1", Domain: "d-2"}, now), now)
		}, 4},
		{"later", func(c *Core, now time.Time) {
			c.SetRules(drain(rules.Target{VM: "m-0"}, now.Add(time.Second)), now)
		}, 4},
		{"leaving", func(c *Core, now time.Time) {
			minions := list()
			minions[0].Leaving = true
			c.SetMinions(minions, now, nil)
		}, 2},
		{"gone", func(c *Core, now time.Time) { c.SetMinions(list()[1:], now, nil) }, 2},
	} {
		c, now := singleEntryCore(2, nil)
		c.SetMinions(list(), now, nil)
		running := c.Arrive(Request{ID: 100, Service: "s"}, now, nil)[0]
		c.Done(Completion{Request: 100, Minion: running.Minion, Result: oleanderline.ResultAnswered}, now, nil)
		s.change(c, now)
		sends := 0
		for id := RequestID(1); id <= 5; id++ {
			for _, a := range c.Arrive(Request{ID: id, Service: "s"}, now, nil) {
				if a.Kind == ActionSend {
					sends++
				}
			}
		}
		require.Equal(t, s.left, sends, s.name)
	}
}

// Guards against a drain rule with a start time that takes effect only with the next revision of the rules.
func TestADrainBeginsAtItsTime(t *testing.T) {
	c, now := singleEntryCore(1, nil)
	from := now.Add(time.Second)
	c.SetRules(&rules.Set{Drains: []rules.Drain{{Window: rules.Window{From: from}, Target: rules.Target{VM: "m-0"}}}}, now)
	require.Len(t, c.Arrive(Request{ID: 1, Service: "s"}, now, nil), 1)
	c.Tick(from, nil)
	require.Empty(t, c.Arrive(Request{ID: 2, Service: "s"}, from, nil))
}

// Guards against limit and shed rules without effect, and against a shed rule that refuses requests of normal priority.
func TestLimitAndShedRules(t *testing.T) {
	reasons := func(set *rules.Set, priority rules.Priority) map[Reason]int {
		c, now := singleEntryCore(1, nil)
		c.SetRules(set, now)
		count := map[Reason]int{}
		for id := RequestID(1); id <= 6; id++ {
			now = now.Add(10 * time.Millisecond)
			actions := c.Arrive(Request{ID: id, Service: "s", Priority: priority}, now, c.Tick(now, nil))
			for _, a := range actions {
				count[a.Reason]++
			}
		}
		return count
	}
	limit := func(l rules.Limit) *rules.Set { return &rules.Set{Limits: []rules.Limit{l}} }
	shed := &rules.Set{Sheds: []rules.Shed{{Metric: "cpu", Above: 0.8, For: 20 * time.Millisecond}}}
	require.Equal(t, map[Reason]int{"": 2}, reasons(&rules.Set{}, rules.PriorityLow))
	require.Equal(t, map[Reason]int{"": 1, ReasonLimit: 5}, reasons(limit(rules.Limit{Service: "s", InFlight: 1}), 0))
	require.Equal(t, map[Reason]int{"": 1, ReasonLimit: 5}, reasons(limit(rules.Limit{Service: "s", Rate: 10}), 0))
	// Both slots are busy from the second request on. The utilization must be above the threshold for 20 ms after the
	// next tick.
	require.Equal(t, map[Reason]int{"": 2, ReasonShed: 2}, reasons(shed, rules.PriorityLow))
	require.Equal(t, map[Reason]int{"": 2}, reasons(shed, rules.PriorityNormal))
	for _, s := range []struct {
		target rules.Target
		sheds  bool
	}{
		{target: rules.Target{Service: "s"}, sheds: true},
		{target: rules.Target{Service: "other"}},
		{target: rules.Target{Domain: "d-1"}},
		{target: rules.Target{Service: "s", VM: "m-1"}},
		{target: rules.Target{Team: "routes"}},
	} {
		targeted := &rules.Set{Sheds: []rules.Shed{shed.Sheds[0]}}
		targeted.Sheds[0].Target = s.target
		require.Equal(t, s.sheds, reasons(targeted, rules.PriorityLow)[ReasonShed] > 0, "%+v", s.target)
	}
}
