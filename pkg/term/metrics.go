package term

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// termMetrics are the metrics of a leader, over all terms of the process.
type termMetrics struct {
	set             *metrics.Set
	terms           *metrics.Counter
	starts          *metrics.Counter
	stops           *metrics.Counter
	throttles       *metrics.Counter
	refused         *metrics.Counter
	uncertain       *metrics.Counter
	done            *metrics.Counter
	failed          *metrics.Counter
	otherEnds       *metrics.Counter
	runsLost        *metrics.Counter
	failingSteps    *metrics.Counter
	callFailures    *metrics.Counter
	reports         *metrics.Counter
	agentsLost      *metrics.Counter
	flushes         *metrics.Counter
	flushFailures   *metrics.Counter
	flushTime       *metrics.Histogram
	reportAge       *metrics.Histogram
	firstStartDelay *metrics.Histogram
	copiesStarted   *metrics.Counter
	copiesWon       *metrics.Counter
	copiesStopped   *metrics.Counter
}

func newTermMetrics(set *metrics.Set) *termMetrics {
	return &termMetrics{
		set:             set,
		terms:           set.GetOrCreateCounter("oleander_cell_terms_total"),             // times that this process became the leader
		starts:          set.GetOrCreateCounter("oleander_cell_starts_total"),            // starts confirmed by a worker
		stops:           set.GetOrCreateCounter("oleander_cell_stops_total"),             // stops confirmed by a worker
		throttles:       set.GetOrCreateCounter("oleander_cell_paces_total"),             // changes of the speed limit of a run, confirmed by a worker
		refused:         set.GetOrCreateCounter("oleander_cell_orders_refused_total"),    // orders refused by a worker
		uncertain:       set.GetOrCreateCounter("oleander_cell_orders_unanswered_total"), // orders without an answer, which may have taken effect
		done:            set.GetOrCreateCounter("oleander_cell_runs_done_total"),         // runs reported as done by workers
		failed:          set.GetOrCreateCounter("oleander_cell_runs_failed_total"),       // runs reported as failed by workers
		otherEnds:       set.GetOrCreateCounter("oleander_cell_runs_ended_total"),        // runs reported as ended in any other way by workers
		runsLost:        set.GetOrCreateCounter("oleander_cell_runs_lost_total"),         // runs considered over without a report of their end from the worker
		failingSteps:    set.GetOrCreateCounter("oleander_cell_failing_steps_total"),     // steps whose tasks ran a few at a time because every run had failed
		callFailures:    set.GetOrCreateCounter("oleander_cell_silent_total"),            // failed calls that renew the leases on a worker
		reports:         set.GetOrCreateCounter("oleander_cell_reports_total"),           // reports received from workers
		agentsLost:      set.GetOrCreateCounter("oleander_cell_agents_lost_total"),       // agents of this leader that were lost or are stopping
		flushes:         set.GetOrCreateCounter("oleander_cell_flushes_total"),           // appends by the leader that were stored
		flushFailures:   set.GetOrCreateCounter("oleander_cell_flush_failures_total"),    // appends by the leader that were not stored or not answered
		flushTime:       set.GetOrCreateHistogram("oleander_cell_flush_seconds"),         // duration of an append by the leader
		reportAge:       set.GetOrCreateHistogram("oleander_cell_report_age_seconds"),    // time from sending a request to a worker to processing its report
		firstStartDelay: set.GetOrCreateHistogram("oleander_cell_first_start_seconds"),   // time from storing a job to its first start
		copiesStarted:   set.GetOrCreateCounter("oleander_cell_copies_started_total"),    // speculative copies of tasks that were started
		copiesWon:       set.GetOrCreateCounter("oleander_cell_copies_won_total"),        // speculative copies that were done before the other run of their task
		copiesStopped:   set.GetOrCreateCounter("oleander_cell_copies_stopped_total"),    // speculative copies that were stopped, because the other run was done or the job has ended
	}
}

func (m *termMetrics) countResult(result plan.Result) {
	switch {
	case result.Err == nil:
		[...]*metrics.Counter{m.starts, m.stops, m.throttles}[result.Order.Kind].Inc()
	case isRefusal(result.Err):
		m.refused.Inc()
	default:
		m.uncertain.Inc()
	}
}

func (m *termMetrics) countCopies(counts plan.CopyCounts) {
	m.copiesStarted.Add(counts.Started)
	m.copiesWon.Add(counts.Won)
	m.copiesStopped.Add(counts.Stopped)
}

func (m *termMetrics) countReport(report oleanderline.WorkerReport) {
	m.reports.Inc()
	for _, end := range report.Ended {
		switch end.How {
		case oleanderline.EndDone:
			m.done.Inc()
		case oleanderline.EndFailed:
			m.failed.Inc()
		default:
			m.otherEnds.Inc()
		}
	}
}
