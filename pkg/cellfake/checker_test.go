package cellfake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

// Guards against a checker that reports a violation for an order that was sent in time and carried out late, and against one that
// misses a start that was ordered too late, or a late run that is not ended.
func TestStartsAfterACancellation(t *testing.T) {
	type scenario struct {
		name      string
		sentAt    time.Duration // when the order is sent, after the cancellation
		delay     time.Duration // between sending the order and carrying it out
		duration  time.Duration // of the run
		violation string        // part of the expected violation, or empty
	}
	for _, s := range []scenario{
		{"ordered before, carried out late, ended soon", -time.Second, 5 * time.Second, time.Second, ""},
		{"ordered before, carried out late, not ended", -time.Second, 5 * time.Second, 10 * time.Second, "lasts"},
		{"ordered in time", cancelLimit - time.Second, 0, time.Second, ""},
		{"ordered too late", cancelLimit + time.Second, 0, time.Second, "is started"},
		{"ordered too late and carried out late", cancelLimit + time.Second, time.Second, time.Second, "is started"},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker(1)
				job := oleanderline.Job{ID: "a", Payload: "1", Steps: []oleanderline.Step{{Count: 1}}}
				c.Submitted(job)
				time.Sleep(time.Minute)
				sentAt := time.Now()
				if s.sentAt < 0 {
					time.Sleep(-s.sentAt)
					c.Cancelled("a")
				} else {
					c.Cancelled("a")
					time.Sleep(s.sentAt)
					sentAt = time.Now()
				}
				time.Sleep(s.delay)
				key := oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a"}, Run: 1}
				c.Started("w", key, 1, sentAt)
				time.Sleep(s.duration)
				c.Ended("w", key, oleanderline.EndExpired)
				if s.violation == "" {
					require.Empty(t, c.Violations())
					return
				}
				require.Contains(t, c.Violations(), s.violation)
			})
		})
	}
}

// Guards against a checker that expects a process to know of a cancellation while the store does not serve it, and against one that
// excuses starts long after that.
func TestStartsAfterACancellationWhileTheStoreIsDisturbed(t *testing.T) {
	type scenario struct {
		name      string
		startedAt time.Duration // after the end of the disturbance
		violation string
	}
	for _, s := range []scenario{{"during", -time.Second, ""}, {"long after", contactTime + time.Second, "is started"}} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker(1)
				c.Submitted(oleanderline.Job{ID: "a", Payload: "1", Steps: []oleanderline.Step{{Count: 1}}})
				c.Cancelled("a")
				c.StoreDisturbed(time.Now().Add(time.Minute))
				time.Sleep(time.Minute + s.startedAt)
				c.Started("w", oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a"}, Run: 1}, 1, time.Now())
				if s.violation == "" {
					require.Empty(t, c.Violations())
					return
				}
				require.Contains(t, c.Violations(), s.violation)
			})
		})
	}
}

// Guards against a checker that reports a violation when a cancellation that was never answered has taken effect, and against one
// that accepts the state cancelled of a job for which no cancellation was sent.
func TestUnansweredCancellations(t *testing.T) {
	type scenario struct {
		name      string
		sent      bool
		violation string
	}
	for _, s := range []scenario{{"sent", true, ""}, {"not sent", false, "is cancelled"}} {
		t.Run(s.name, func(t *testing.T) {
			c := NewChecker(1)
			c.Submitted(oleanderline.Job{ID: "a", Steps: []oleanderline.Step{{Count: 1, LongRunning: true}}})
			c.Accepted("a")
			if s.sent {
				c.CancelSent("a")
			}
			c.CheckFinal(func(oleanderline.JobID) (oleanderline.JobState, error) { return oleanderline.JobCancelled, nil })
			if s.violation == "" {
				require.Empty(t, c.Violations())
				return
			}
			require.Contains(t, c.Violations(), s.violation)
		})
	}
}

// Guards against a checker that misses a start in a failure domain out of service, and against one that reports starts within the bound,
// elsewhere, sent in time but carried out late, after the request was removed, or while no process could learn of it.
func TestStartsInADomainOutOfService(t *testing.T) {
	type scenario struct {
		name      string
		worker    oleanderline.WorkerID
		prepare   func(c *Checker) (sentAt time.Time)
		violation string
	}
	after := func(d time.Duration) time.Time {
		time.Sleep(d)
		return time.Now()
	}
	for _, s := range []scenario{
		{"too late", "w1", func(*Checker) time.Time { return after(evacuationLimit + 1) }, "EVAC"},
		{"within the bound", "w1", func(*Checker) time.Time { return after(evacuationLimit) }, ""},
		{"elsewhere", "w2", func(*Checker) time.Time { return after(time.Minute) }, ""},
		{"carried out late", "w1", func(*Checker) time.Time { return after(time.Minute).Add(-58 * time.Second) }, ""},
		{"removed", "w1", func(c *Checker) time.Time {
			c.TakenBack("d")
			return after(time.Minute)
		}, ""},
		{"requested again", "w1", func(c *Checker) time.Time {
			c.Evacuated("d")
			return after(evacuationLimit + 1)
		}, "EVAC"},
		{"not in touch", "w1", func(c *Checker) time.Time {
			c.NoneInTouch(time.Now().Add(time.Minute))
			return after(time.Minute + time.Second)
		}, ""},
		{"in touch again", "w1", func(c *Checker) time.Time {
			c.NoneInTouch(time.Now().Add(time.Minute))
			return after(time.Minute + contactTime + 1)
		}, "EVAC"},
	} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker(1)
				c.SetDomain("w1", "d")
				c.Evacuated("d")
				c.Started(s.worker, oleanderline.RunKey{Task: oleanderline.TaskKey{Job: "a"}, Run: 1}, 1, s.prepare(c))
				if s.violation == "" {
					require.Empty(t, c.Violations())
					return
				}
				require.Contains(t, c.Violations(), s.violation)
			})
		})
	}
}
