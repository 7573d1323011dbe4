package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/queue"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// BenchmarkShortBehindLong reports the median wait of short tasks and the batch throughput as ratios to baselines.
func BenchmarkShortBehindLong(b *testing.B) {
	for b.Loop() {
		settings := queue.DefaultSettings()
		both, fifo := mixed(1, horizon, true), mixed(1, horizon, true)
		m, base := runQueue(both, horizon, settings, &rules.Set{}), runFIFO(fifo, horizon)
		b.ReportMetric(shortRatio(settings), "wait/alone")
		b.ReportMetric(m.used/base.used, "throughput/fifo")
		b.ReportMetric(medianWait(fifo, "credit", horizon/3, horizon).Seconds(), "fifo-wait-s")
		b.ReportMetric(medianWait(both, "credit", horizon/3, horizon).Seconds(), "wait-s")
	}
}

// BenchmarkQueue reports the cost of a task that enters and leaves the queue while others wait in shapes of their own.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := queue.New[int](queue.DefaultSettings(), queue.NewClasses())
			push := func(id int) {
				shape := queue.Shape{ClassKey: queue.ClassKey{Class: "a"}, Size: oleanderline.Size{CPU: oleanderline.Millicores(id % waiting)}}
				q.Push(id, shape, machineStart.Add(time.Duration(id)), time.Time{}, machineStart)
			}
			for id := range waiting {
				push(id)
			}
			id := waiting
			for b.Loop() {
				push(id)
				id++
				first := true
				q.Each(machineStart, queue.Load{}, func(int, bool) queue.Verdict {
					if !first {
						return queue.Enough
					}
					first = false
					return queue.Placed
				})
			}
		})
	}
}
