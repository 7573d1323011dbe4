package window

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
)

func run(number int) oleanderline.RunKey { return oleanderline.RunKey{Run: number} }

// play sends a backlog of starts to workers that answer rate starts a second in order, and returns how late the last answers
// of the given time were.
func play(rate int, lasts time.Duration) time.Duration {
	w := New()
	now := time.Unix(1000, 0)
	free := now // when the leader's link is free again
	type answer struct {
		run oleanderline.RunKey
		at  time.Time
	}
	var waiting []answer
	var late time.Duration
	number := 0
	for end := now.Add(lasts); now.Before(end); now = now.Add(20 * time.Millisecond) {
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			w.Answered(waiting[0].run, now)
			waiting = waiting[1:]
		}
		for range w.Room(now) {
			number++
			if free.Before(now) {
				free = now
			}
			free = free.Add(time.Second / time.Duration(rate))
			w.Sent(run(number), now)
			waiting = append(waiting, answer{run(number), free})
		}
		late = free.Sub(now)
	}
	return late
}

// Guards against a backlog that is sent at once: what a slow link carries behind it, such as renewals of leases, must not wait
// for longer than the limit of a call to a worker.
func TestBacklogHoldsUpLittle(t *testing.T) {
	type scenario struct {
		name string
		rate int // starts a second
	}
	for _, s := range []scenario{{"small VM", 40}, {"large VM", 2000}} {
		t.Run(s.name, func(t *testing.T) {
			require.Less(t, play(s.rate, 20*time.Second), 450*time.Millisecond)
		})
	}
}

// Guards against workers that leave starts unanswered and hold up the starts on all others.
func TestUnansweredStartsHoldUpNothing(t *testing.T) {
	w := New()
	now := time.Unix(1000, 0)
	for i := range int(initial) {
		w.Sent(run(i), now)
	}
	require.Zero(t, w.Room(now))
	require.Equal(t, int(initial), w.Room(now.Add(unanswered)))
	for i := range int(initial) {
		w.Failed(run(i))
	}
	require.Equal(t, int(initial), w.Room(now))
}

// Guards against a leader that stays slow after one bad moment.
func TestWindowGrowsAgain(t *testing.T) {
	w := New()
	now := time.Unix(1000, 0)
	for i := range 20 {
		now = now.Add(slow)
		w.Sent(run(i), now)
		w.Expired(run(i), now)
	}
	require.Equal(t, int(least), w.Room(now))
	for i := range 200 {
		for j := range 8 {
			w.Sent(run(1000+i*8+j), now)
		}
		now = now.Add(20 * time.Millisecond)
		for j := range 8 {
			w.Answered(run(1000+i*8+j), now)
		}
	}
	require.Greater(t, w.Room(now), 2*int(least)-2)
}
