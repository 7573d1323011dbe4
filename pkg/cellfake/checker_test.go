package cellfake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a check that blames a leader for an order that a worker carries out late, and against one that overlooks a
// start that was ordered too late, or a late run that is left alone.
func TestStartsAfterACancellation(t *testing.T) {
	type scenario struct {
		name    string
		ordered time.Duration // after the cancellation
		delay   time.Duration // of the order
		lasts   time.Duration
		fault   string
	}
	for _, s := range []scenario{
		{"ordered before, carried out late, ended soon", -time.Second, 5 * time.Second, time.Second, ""},
		{"ordered before, carried out late, left alone", -time.Second, 5 * time.Second, 10 * time.Second, "lasts"},
		{"ordered in time", cancelLimit - time.Second, 0, time.Second, ""},
		{"ordered too late", cancelLimit + time.Second, 0, time.Second, "is started"},
		{"ordered too late and carried out late", cancelLimit + time.Second, time.Second, time.Second, "is started"},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker(1)
				job := oleanderline.Job{ID: "a", Payload: "1", Steps: []oleanderline.Step{{Count: 1}}}
				c.Sent(job)
				time.Sleep(time.Minute)
				ordered := time.Now()
				if s.ordered < 0 {
					time.Sleep(-s.ordered)
					c.Cancelled("a")
				} else {
					c.Cancelled("a")
					time.Sleep(s.ordered)
					ordered = time.Now()
				}
				time.Sleep(s.delay)
				key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a"}, Run: 1}
				c.Started("w", key, 1, ordered)
				time.Sleep(s.lasts)
				c.Ended("w", key, oleanderline.EndLapsed)
				if s.fault == "" {
					require.Empty(t, c.Result())
					return
				}
				require.Contains(t, c.Result(), s.fault)
			})
		})
	}
}

// Guards against a check that takes a cancellation which was sent, and never answered, for one that was not carried out, and
// against one that lets a job be cancelled that nobody has cancelled.
func TestUnansweredCancellations(t *testing.T) {
	type scenario struct {
		name  string
		sent  bool
		fault string
	}
	for _, s := range []scenario{{"sent", true, ""}, {"not sent", false, "is cancelled"}} {
		t.Run(s.name, func(t *testing.T) {
			c := NewChecker(1)
			c.Sent(oleanderline.Job{ID: "a", Steps: []oleanderline.Step{{Count: 1, Lasting: true}}})
			c.Accepted("a")
			if s.sent {
				c.CancelSent("a")
			}
			c.Final(func(oleanderline.JobID) (oleanderline.JobState, error) { return oleanderline.JobCancelled, nil })
			if s.fault == "" {
				require.Empty(t, c.Result())
				return
			}
			require.Contains(t, c.Result(), s.fault)
		})
	}
}
