package queue_test

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

const horizon = 3 * time.Hour

// shortWaitRatio returns the ratio of the median wait of short tasks beside long ones to that of short tasks alone.
func shortWaitRatio(settings queue.Settings) float64 {
	alone, both := mixedLoad(1, horizon, false), mixedLoad(1, horizon, true)
	runQueue(alone, horizon, settings, &rules.Set{})
	runQueue(both, horizon, settings, &rules.Set{})
	warmUp := horizon / 3
	return float64(medianWait(both, "credit", warmUp, horizon)) / float64(medianWait(alone, "credit", warmUp, horizon))
}

// Guards against short tasks that wait for long ones to end. Without levels and reserve they do.
func TestShortTasksBehindLongOnes(t *testing.T) {
	const target = 1.5
	require.LessOrEqual(t, shortWaitRatio(queue.DefaultSettings()), target)
	off := queue.DefaultSettings()
	off.Disabled.Reserve, off.Disabled.Levels = true, true
	require.Greater(t, shortWaitRatio(off), target)
}

// Guards against the starvation of long tasks while short tasks take all the capacity.
func TestStarvationIsBounded(t *testing.T) {
	scenarios := []struct {
		name     string
		disabled bool
		started  bool
	}{{"limit enabled", false, true}, {"limit disabled", true, false}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			settings := queue.DefaultSettings()
			settings.Disabled.Starvation = s.disabled
			load := loadTrace(t, "short_wave")
			runQueue(load, 22*time.Minute, settings, &rules.Set{})
			for _, task := range load {
				if task.Class == "route" {
					require.Equal(t, s.started, task.started && task.startedAt-task.At < 2*settings.MaxWait, "route at %s", task.At)
				}
			}
		})
	}
}

// loadTrace reads a recorded trace. In short_wave, after 60 s of ordinary load, short tasks request 1.5 times the capacity for
// more than 20 minutes, and two long tasks wait among them. Expected: each long task starts within twice MaxWait.
func loadTrace(t *testing.T, name string) (load []*simTask) {
	file, err := os.Open("testdata/" + name + ".jsonl")
	require.NoError(t, err)
	defer file.Close()
	defer func() { slices.SortStableFunc(load, func(a, b *simTask) int { return int(a.At - b.At) }) }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		row := struct {
			simTask
			Repeat int           `json:"repeat"`
			Every  time.Duration `json:"every"`
		}{}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &row))
		for i := range max(row.Repeat, 1) {
			task := row.simTask
			task.At += time.Duration(i) * row.Every
			load = append(load, &task)
		}
	}
	return load
}

// Guards against a burst of long tasks that delays short tasks. In long_wave 1,600 tasks of the class route arrive at the same
// time after 10 minutes. Expected: from then on the median wait of short tasks is at most 1.5 times that of short tasks alone.
func TestLongWave(t *testing.T) {
	const end, begin, target = 20 * time.Minute, 10 * time.Minute, 1.5
	waitRatio := func(settings queue.Settings) float64 {
		both := loadTrace(t, "long_wave")
		alone := slices.DeleteFunc(loadTrace(t, "long_wave"), func(task *simTask) bool { return task.Class == "route" })
		runQueue(both, end, settings, &rules.Set{})
		runQueue(alone, end, settings, &rules.Set{})
		// Arrivals coincide with passes, so the wait may be 0. One interval is added to both waits to avoid a division by 0.
		withLong := float64(medianWait(both, "credit", begin, end) + passInterval)
		return withLong / float64(medianWait(alone, "credit", begin, end)+passInterval)
	}
	require.LessOrEqual(t, waitRatio(queue.DefaultSettings()), target)
	off := queue.DefaultSettings()
	off.Disabled.Reserve, off.Disabled.Levels = true, true
	require.Greater(t, waitRatio(off), target)
}

// Guards against tasks that are lost, offered twice or offered before their backoff has ended.
func TestQueueKeepsEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](queue.DefaultSettings(), queue.NewClasses())
		waiting := map[int]time.Time{} // earliest start time by task
		now := simStart
		for id := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passed")) * time.Second)
			class := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class")
			notBefore := now.Add(time.Duration(rapid.IntRange(-1, 2).Draw(t, "delay")) * time.Minute)
			shape := queue.Shape{ClassKey: queue.ClassKey{Class: class}, Urgent: rapid.Bool().Draw(t, "urgent")}
			q.Push(id, shape, now, notBefore, now)
			waiting[id] = notBefore
			if dropped := rapid.IntRange(0, id).Draw(t, "gone"); rapid.Bool().Draw(t, "drop") {
				q.Drop(dropped)
				delete(waiting, dropped)
			}
			room := rapid.IntRange(0, 3).Draw(t, "room")
			q.Each(now, queue.Load{}, func(id int, _ bool) queue.Verdict {
				start, ok := waiting[id]
				require.True(t, ok, "task %d is offered twice or was dropped", id)
				require.False(t, start.After(now), "task %d is offered before its backoff ends", id)
				if room == 0 {
					return queue.Stop
				}
				room--
				delete(waiting, id)
				return queue.Placed
			})
			require.Equal(t, len(waiting), q.Len())
		}
	})
}

// Guards against a class rule or an urgent flag that has no effect on the order.
func TestOrderOfBuckets(t *testing.T) {
	set, report := rules.Parse("class name=plan long=yes # x\nclass name=gala priority=high # x\nclass name=idle priority=low # x\n")
	require.Empty(t, report.Errors)
	classes := queue.NewClasses()
	for _, class := range []string{"credit", "plan", "idle"} {
		for range 10 {
			classes.Observe(queue.ClassKey{Class: class}, time.Second)
		}
	}
	q := queue.New[string](queue.DefaultSettings(), classes)
	q.SetRules(set)
	push := func(name, class string, urgent bool, since time.Duration) {
		shape := queue.Shape{ClassKey: queue.ClassKey{Class: class}, Kind: oleanderline.KindBatch, Urgent: urgent}
		q.Push(name, shape, simStart.Add(since), time.Time{}, simStart)
	}
	push("idle", "idle", false, 0)
	push("plan", "plan", false, 0)
	push("unknown", "new", false, 0)
	push("credit", "credit", false, time.Minute)
	push("gala", "gala", false, time.Minute)
	push("urgent", "idle", true, time.Minute)
	var order []string
	q.Each(simStart, queue.Load{Capacity: 1000}, func(name string, _ bool) queue.Verdict {
		order = append(order, name)
		return queue.Placed
	})
	require.Equal(t, []string{"urgent", "gala", "credit", "unknown", "plan", "idle"}, order)
}
