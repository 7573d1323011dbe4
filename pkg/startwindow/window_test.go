package startwindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

func run(number int) oleanderline.RunKey { return oleanderline.RunKey{Run: number} }

// simulateBacklog sends an endless backlog of starts over a link that answers rate starts per second, in order. It returns the
// delay on the link at the end of the given duration.
func simulateBacklog(rate int, duration time.Duration) time.Duration {
	w := New()
	now := time.Unix(1000, 0)
	linkFreeAt := now // when the leader's link has sent everything that is queued
	type answer struct {
		run oleanderline.RunKey
		at  time.Time
	}
	var outstanding []answer
	var delay time.Duration
	number := 0
	for end := now.Add(duration); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for len(outstanding) > 0 && !outstanding[0].at.After(now) {
			w.Answered(outstanding[0].run, now)
			outstanding = outstanding[1:]
		}
		for range w.Room(now) {
			number++
			if linkFreeAt.Before(now) {
				linkFreeAt = now
			}
			linkFreeAt = linkFreeAt.Add(time.Second / time.Duration(rate))
			w.Sent(run(number), now)
			outstanding = append(outstanding, answer{run(number), linkFreeAt})
		}
		delay = linkFreeAt.Sub(now)
	}
	return delay
}

// Guards against a backlog that is sent at once: calls queued behind it on a slow link, such as lease renewals, must not wait for
// longer than the time limit of a call to a worker.
func TestBacklogDelaysLittle(t *testing.T) {
	type scenario struct {
		name string
		rate int // starts per second
	}
	for _, s := range []scenario{{"small VM", 40}, {"large VM", 2000}} {
		t.Run(s.name, func(t *testing.T) {
			require.Less(t, simulateBacklog(s.rate, 20*time.Second), 450*time.Millisecond)
		})
	}
}

// Guards against workers that do not answer starts and thereby delay the starts on all others.
func TestUnansweredStartsDelayNothing(t *testing.T) {
	w := New()
	now := time.Unix(1000, 0)
	for i := range int(initialSize) {
		w.Sent(run(i), now)
	}
	require.Zero(t, w.Room(now))
	require.Equal(t, int(initialSize), w.Room(now.Add(answerTimeout)))
	for i := range int(initialSize) {
		w.Failed(run(i))
	}
	require.Equal(t, int(initialSize), w.Room(now))
}

// Guards against a window that stays small after a short period of slow answers.
func TestWindowGrowsAgain(t *testing.T) {
	w := New()
	now := time.Unix(1000, 0)
	for i := range 20 {
		now = now.Add(slowAnswer)
		w.Sent(run(i), now)
		w.Expired(run(i), now)
	}
	require.Equal(t, int(minSize), w.Room(now))
	for i := range 200 {
		for j := range 8 {
			w.Sent(run(1000+i*8+j), now)
		}
		now = now.Add(20 * time.Millisecond)
		for j := range 8 {
			w.Answered(run(1000+i*8+j), now)
		}
	}
	require.Greater(t, w.Room(now), 2*int(minSize)-2)
}
