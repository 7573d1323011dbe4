package term

import (
	"fmt"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// countLevels adds the service levels of queues to the counters of this process.
func (m *termMetrics) countLevels(levels map[oleanderline.QueueID]*plan.ServiceLevel) {
	for queue, level := range levels {
		for result, count := range map[string]int{"intime": level.InTime, "late": level.Late, "missed": level.Missed} {
			m.set.GetOrCreateCounter(jobsMetric + labels(queue, result)).Add(count)
		}
		m.set.GetOrCreateFloatCounter(longRunningMetric + labels(queue, "served")).Add(level.Served.Seconds())
		m.set.GetOrCreateFloatCounter(longRunningMetric + labels(queue, "asked")).Add(level.Asked.Seconds())
	}
}

// Metrics with the labels queue and result.
const (
	jobsMetric        = "oleander_cell_jobs_total"
	longRunningMetric = "oleander_cell_lasting_seconds_total"
)

func labels(queue oleanderline.QueueID, result string) string {
	return fmt.Sprintf("{queue=%q,result=%q}", queue, result)
}
