package health_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/health"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// event is the end of a task in a recorded trace.
type event struct {
	At     time.Duration         `json:"at"`
	Worker oleanderline.WorkerID `json:"worker"`
	Job    oleanderline.JobID    `json:"job"`
	Failed bool                  `json:"failed"`
}

// replay returns a tracker that has recorded a trace, and the time of the trace's last event.
func replay(t *testing.T, name string, settings health.Settings) (*health.Tracker, time.Time) {
	file, err := os.Open("testdata/" + name + ".jsonl")
	require.NoError(t, err)
	defer file.Close()
	tracker := health.New(settings)
	tracker.SetSize(6)
	now := start
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var e event
		require.NoError(t, json.Unmarshal(lines.Bytes(), &e))
		now = start.Add(e.At)
		if e.Failed {
			tracker.Failed(e.Worker, e.Job, now)
			continue
		}
		tracker.Done(e.Worker, e.Job, now)
	}
	return tracker, now
}

// Guards against a bad worker that keeps getting tasks, and against the quarantine of a worker on which only bad jobs failed.
// In the trace fails_everything, only w-1 must be quarantined; in bad_jobs, none.
func TestTraces(t *testing.T) {
	off := health.DefaultSettings()
	off.Disabled = true
	scenarios := []struct {
		trace    string
		settings health.Settings
		bad      []oleanderline.WorkerID
	}{
		{"fails_everything", health.DefaultSettings(), []oleanderline.WorkerID{"w-1"}},
		{"fails_everything", off, nil},
		{"bad_jobs", health.DefaultSettings(), nil},
	}
	for _, s := range scenarios {
		t.Run(fmt.Sprintf("%s disabled=%t", s.trace, s.settings.Disabled), func(t *testing.T) {
			tracker, now := replay(t, s.trace, s.settings)
			var bad []oleanderline.WorkerID
			for n := range 6 {
				id := oleanderline.WorkerID(fmt.Sprintf("w-%d", n))
				require.Equal(t, tracker.Healthy(id), tracker.Accepts(id, 0, now))
				if !tracker.Healthy(id) {
					bad = append(bad, id)
				}
			}
			require.Equal(t, s.bad, bad)
		})
	}
}

// Guards against a quarantine that never ends, that ends without successful probes, or that probes with more than one task.
func TestProbes(t *testing.T) {
	settings := health.DefaultSettings()
	tracker, now := replay(t, "fails_everything", settings)
	require.False(t, tracker.Accepts("w-1", 0, now))
	now = now.Add(settings.FirstProbeDelay)
	require.True(t, tracker.Accepts("w-1", 0, now))
	require.False(t, tracker.Accepts("w-1", 1, now))
	tracker.Failed("w-1", "x", now)
	require.False(t, tracker.Accepts("w-1", 0, now.Add(settings.FirstProbeDelay)), "the delay doubles")
	now = now.Add(2 * settings.FirstProbeDelay)
	tracker.Done("w-1", "y", now)
	require.False(t, tracker.Healthy("w-1"))
	tracker.Done("w-1", "z", now)
	require.True(t, tracker.Healthy("w-1"))
	require.Zero(t, tracker.Quarantined())
}

// Guards against the quarantine of more than a third of the workers, for any sequence of failures and successes.
func TestQuarantineIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := health.New(health.DefaultSettings())
		workers := rapid.IntRange(1, 9).Draw(t, "workers")
		tracker.SetSize(workers)
		for n := range rapid.IntRange(1, 300).Draw(t, "events") {
			id := oleanderline.WorkerID(fmt.Sprint(rapid.IntRange(0, workers-1).Draw(t, "worker")))
			job := oleanderline.JobID(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "job")))
			at := start.Add(time.Duration(n) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "outcome") > 0 {
				tracker.Failed(id, job, at)
			} else {
				tracker.Done(id, job, at)
			}
			bad := 0
			for i := range workers {
				if !tracker.Healthy(oleanderline.WorkerID(fmt.Sprint(i))) {
					bad++
				}
			}
			require.Equal(t, bad, tracker.Quarantined())
			require.LessOrEqual(t, 3*bad, workers)
		}
	})
}
