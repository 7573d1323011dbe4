package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against settings under which a shard drops a finished job while an owner that has lost the job's home shard may
// still offer its tasks (seed 2849 in KNOWN-RED.txt).
func TestFinishedJobsOutlastTheHorizon(t *testing.T) {
	scenarios := []struct {
		horizon, retention time.Duration
		refused            bool
	}{
		{horizon: 15 * time.Minute, retention: 24 * time.Hour},
		{horizon: 6 * time.Hour, retention: 24 * time.Hour},
		{horizon: 7 * time.Hour, retention: 24 * time.Hour, refused: true},
		{horizon: 15 * time.Minute, retention: time.Hour},
		{horizon: 16 * time.Minute, retention: time.Hour, refused: true},
	}
	for _, s := range scenarios {
		settings := DefaultSettings()
		settings.Horizon, settings.Retention = s.horizon, s.retention
		err := settings.Validate()
		if s.refused {
			require.ErrorContains(t, err, "--horizon="+s.horizon.String())
			continue
		}
		require.NotContains(t, err.Error(), "--horizon")
		require.GreaterOrEqual(t, settings.limits().JobRetention, 2*s.horizon)
	}
}
