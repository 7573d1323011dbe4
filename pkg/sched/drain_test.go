package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Guards against a drain that applies to the wrong workers or too early, and against a drain reason that lacks the rule or
// its author.
func TestDrainRule(t *testing.T) {
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	later := rules.Window{From: now.Add(time.Hour)}
	origin := rules.Origin{Line: 3, Comment: "kernel update, platform team"}
	scenarios := []struct {
		name  string
		drain rules.Drain
		want  bool
	}{
		{name: "by VM", drain: rules.Drain{Origin: origin, Target: rules.Target{VM: "w-1"}}, want: true},
		{name: "by rack", drain: rules.Drain{Origin: origin, Target: rules.Target{Rack: "r-1"}}, want: true},
		{name: "by domain", drain: rules.Drain{Origin: origin, Target: rules.Target{Domain: "d-1"}}, want: true},
		{name: "another VM", drain: rules.Drain{Origin: origin, Target: rules.Target{VM: "w-2"}}},
		{name: "of a service", drain: rules.Drain{Origin: origin, Target: rules.Target{Service: "reservations"}}},
		{name: "later", drain: rules.Drain{Origin: origin, Target: rules.Target{VM: "w-1"}, Window: later}},
	}
	vm := oleanderline.VM{ID: "w-1", Rack: "r-1", Domain: "d-1", Role: oleanderline.RoleWorker}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got := drainRule(&rules.Set{Revision: 7, Drains: []rules.Drain{s.drain}}, vm, now)
			if !s.want {
				require.Empty(t, got)
				return
			}
			require.Equal(t, "drain rule in line 3 of revision 7 (kernel update, platform team)", got)
		})
	}
}
