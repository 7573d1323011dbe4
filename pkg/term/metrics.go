package term

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/plan"
)

// termMetrics count what a leader does, over all terms of the process.
type termMetrics struct {
	set        *metrics.Set
	terms      *metrics.Counter
	starts     *metrics.Counter
	stops      *metrics.Counter
	paces      *metrics.Counter
	refused    *metrics.Counter
	uncertain  *metrics.Counter
	done       *metrics.Counter
	failed     *metrics.Counter
	otherEnds  *metrics.Counter
	lost       *metrics.Counter
	silent     *metrics.Counter
	reports    *metrics.Counter
	agentsLost *metrics.Counter
	flushes    *metrics.Counter
	flushLost  *metrics.Counter
	flushTime  *metrics.Histogram
	holdTime   *metrics.Histogram
	startTime  *metrics.Histogram
}

func newTermMetrics(set *metrics.Set) *termMetrics {
	return &termMetrics{
		set:        set,
		terms:      set.GetOrCreateCounter("oleander_cell_terms_total"),             // times at which this process became the leader
		starts:     set.GetOrCreateCounter("oleander_cell_starts_total"),            // starts that a worker has confirmed
		stops:      set.GetOrCreateCounter("oleander_cell_stops_total"),             // stops that a worker has confirmed
		paces:      set.GetOrCreateCounter("oleander_cell_paces_total"),             // changes of pace that a worker has confirmed
		refused:    set.GetOrCreateCounter("oleander_cell_orders_refused_total"),    // orders that a worker refused
		uncertain:  set.GetOrCreateCounter("oleander_cell_orders_unanswered_total"), // orders without an answer, which may have been carried out
		done:       set.GetOrCreateCounter("oleander_cell_runs_done_total"),         // runs that workers listed as done
		failed:     set.GetOrCreateCounter("oleander_cell_runs_failed_total"),       // runs that workers listed as failed
		otherEnds:  set.GetOrCreateCounter("oleander_cell_runs_ended_total"),        // runs that workers listed as ended in any other way
		lost:       set.GetOrCreateCounter("oleander_cell_runs_lost_total"),         // runs taken as over without an end from their worker
		silent:     set.GetOrCreateCounter("oleander_cell_silent_total"),            // times at which a call to a worker failed
		reports:    set.GetOrCreateCounter("oleander_cell_reports_total"),           // reports of workers
		agentsLost: set.GetOrCreateCounter("oleander_cell_agents_lost_total"),       // agents of this leader that were lost or stopped
		flushes:    set.GetOrCreateCounter("oleander_cell_flushes_total"),           // appends of the leader that were stored
		flushLost:  set.GetOrCreateCounter("oleander_cell_flush_failures_total"),    // appends of the leader that were not stored, or not answered
		flushTime:  set.GetOrCreateHistogram("oleander_cell_flush_seconds"),         // time of an append of the leader
		holdTime:   set.GetOrCreateHistogram("oleander_cell_report_age_seconds"),    // time from asking a worker to taking in its report
		startTime:  set.GetOrCreateHistogram("oleander_cell_first_start_seconds"),   // time from storing a job to its first start
	}
}

func (m *termMetrics) result(result plan.Result) {
	switch {
	case result.Err == nil:
		[...]*metrics.Counter{m.starts, m.stops, m.paces}[result.Order.Kind].Inc()
	case isRefusal(result.Err):
		m.refused.Inc()
	default:
		m.uncertain.Inc()
	}
}

func (m *termMetrics) report(report oleanderline.WorkerReport) {
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
