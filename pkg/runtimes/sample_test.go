package runtimes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a median that long tasks draw up, and against old runs that are never forgotten.
func TestMedianOfTheNewestRuns(t *testing.T) {
	var s Sample
	require.Zero(t, s.Median())
	for range size {
		s.Add(time.Minute)
	}
	for i := range size {
		s.Add(time.Duration(i%4) * time.Second)
	}
	s.Add(time.Hour)
	require.Equal(t, size, s.Count())
	require.Equal(t, 2*time.Second, s.Median())
}
