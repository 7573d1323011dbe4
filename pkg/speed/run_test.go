package speed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a remaining time that is taken from the average since the start: a run whose worker has just become slow would seem to end
// soon.
func TestRemainingFollowsTheNewestSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Run
	r.Start(0, now)
	require.Equal(t, 2*time.Second, r.Remaining(time.Second, 2, now), "no report: the typical time on this worker")
	now = now.Add(time.Second)
	whole, ok := r.Report(50, now)
	require.True(t, ok)
	require.Equal(t, 2*time.Second, whole)
	require.Equal(t, time.Second, r.Remaining(time.Second, 2, now))
	now = now.Add(time.Second)
	_, ok = r.Report(55, now) // ten times slower
	require.True(t, ok)
	require.Equal(t, 9*time.Second, r.Remaining(time.Second, 2, now))
	now = now.Add(time.Second)
	_, ok = r.Report(55, now) // no progress at all
	require.True(t, ok)
	require.Greater(t, r.Remaining(time.Second, 2, now), time.Minute)
}

// Guards against periods so short that the delay of a report decides, and against a report that overtakes a later one.
func TestShortPeriodsAreJoined(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Run
	require.False(t, r.Started())
	r.Start(0, now)
	_, ok := r.Report(1, now.Add(MinPeriod/2))
	require.False(t, ok)
	whole, ok := r.Report(30, now.Add(2*MinPeriod))
	require.True(t, ok)
	require.Equal(t, time.Second, whole)
	_, ok = r.Report(20, now.Add(4*MinPeriod))
	require.False(t, ok)
}
