package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/placement"
	"github.com/oleanderline/oleanderline/pkg/queue"
)

// BenchmarkPlacement measures the cost of one task: queueing, its turn in the queue and the choice of a worker, while
// other tasks of different sizes are queued.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{50, 65, 870} {
		for _, waiting := range []int{100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("workers=%d/waiting=%d", workers, waiting), func(b *testing.B) {
				list := candidates(workers)
				start := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
				q := queue.New[int](queue.DefaultSettings(), queue.NewClasses())
				size := func(id int) oleanderline.Size {
					return oleanderline.Size{CPU: oleanderline.Millicores(id%waiting + 1), Memory: 1000}
				}
				push := func(id int) {
					q.Push(id, queue.Shape{Size: size(id), Kind: oleanderline.KindBatch}, start.Add(time.Duration(id)), time.Time{}, start)
				}
				for id := range waiting {
					push(id)
				}
				id := waiting
				for b.Loop() {
					push(id)
					id++
					placed := false
					q.Each(start, queue.Load{}, func(id int, _ bool) queue.Verdict {
						if placed {
							return queue.Stop
						}
						_, placed = placement.BestFit{}.Choose(placement.Need{Size: size(id), Kind: oleanderline.KindBatch}, list)
						return queue.Placed
					})
				}
			})
		}
	}
}
