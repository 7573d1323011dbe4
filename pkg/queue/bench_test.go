package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// BenchmarkShortBehindLong reports the median wait of short tasks beside long ones, in relation to the wait of short tasks
// alone, and the throughput in relation to FIFO order.
func BenchmarkShortBehindLong(b *testing.B) {
	for b.Loop() {
		settings := queue.DefaultSettings()
		both, fifo := mixedLoad(1, horizon, true), mixedLoad(1, horizon, true)
		sim, baseline := runQueue(both, horizon, settings, &rules.Set{}), runFIFO(fifo, horizon)
		b.ReportMetric(shortWaitRatio(settings), "wait/alone")
		b.ReportMetric(sim.coreSeconds/baseline.coreSeconds, "throughput/fifo")
		b.ReportMetric(medianWait(fifo, "credit", horizon/3, horizon).Seconds(), "fifo-wait-s")
		b.ReportMetric(medianWait(both, "credit", horizon/3, horizon).Seconds(), "wait-s")
	}
}

// BenchmarkQueue measures the cost of a task that enters and leaves the queue while other tasks wait, each with a shape of its
// own.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := queue.New[int](queue.DefaultSettings(), queue.NewClasses())
			push := func(id int) {
				shape := queue.Shape{ClassKey: queue.ClassKey{Class: "a"}, Size: oleanderline.Size{CPU: oleanderline.Millicores(id % waiting)}}
				q.Push(id, shape, simStart.Add(time.Duration(id)), time.Time{}, simStart)
			}
			for id := range waiting {
				push(id)
			}
			id := waiting
			for b.Loop() {
				push(id)
				id++
				first := true
				q.Each(simStart, queue.Load{}, func(int, bool) queue.Verdict {
					if !first {
						return queue.Stop
					}
					first = false
					return queue.Placed
				})
			}
		})
	}
}
