package cellfake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a checker that forbids a copy of a task whose step allows it, and against one that misses a second run of another task, a start
// that is sent long after the task is done, or a run number that is used twice.
func TestCopiesOfTasks(t *testing.T) {
	task := oleanderline.TaskKey{Job: "a"}
	first, second := oleanderline.RunKey{Task: task, Run: 1}, oleanderline.RunKey{Task: task, Run: 2}
	type scenario struct {
		name      string
		allowed   bool
		play      func(*Checker)
		violation string
	}
	for _, s := range []scenario{
		{"allowed", true, func(c *Checker) { c.Started("w2", second, 1, time.Now()) }, ""},
		{"not allowed", false, func(c *Checker) { c.Started("w2", second, 1, time.Now()) }, "TWICE"},
		{"the other run is still active when one is done", true, func(c *Checker) {
			c.Started("w2", second, 1, time.Now())
			c.Ended("w2", second, oleanderline.EndDone)
			c.Acked(second, oleanderline.EndDone, false)
		}, ""},
		{"sent long after the end", true, func(c *Checker) {
			c.Ended("w1", first, oleanderline.EndDone)
			c.Acked(first, oleanderline.EndDone, false)
			time.Sleep(2 * maxCopyDelay)
			c.Started("w2", second, 1, time.Now())
		}, "TWICE"},
		{"number used twice", true, func(c *Checker) { c.Started("w2", first, 1, time.Now()) }, "TWICE"},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker(1)
				c.Submitted(oleanderline.Job{ID: "a", Payload: "1", Steps: []oleanderline.Step{{Count: 1, Speculative: s.allowed}}})
				time.Sleep(time.Minute)
				c.Started("w1", first, 1, time.Now())
				s.play(c)
				if s.violation == "" {
					require.Empty(t, c.Violations())
					return
				}
				require.Contains(t, c.Violations(), s.violation)
			})
		})
	}
}
