package sched

import "github.com/VictoriaMetrics/metrics"

// shardMetrics count what all shards of the process do.
type shardMetrics struct {
	appends      *metrics.Counter
	appendBytes  *metrics.Counter
	appendErrors *metrics.Counter
	reads        *metrics.Counter
	calls        *metrics.Counter
	callErrors   *metrics.Counter
	starts       *metrics.Counter
	done         *metrics.Counter
	freed        *metrics.Counter
	lapsed       *metrics.Counter
	claims       *metrics.Counter
	refused      *metrics.Counter
}

func newShardMetrics(set *metrics.Set) *shardMetrics {
	return &shardMetrics{
		appends:      set.GetOrCreateCounter("oleander_sched_appends_total"),
		appendBytes:  set.GetOrCreateCounter("oleander_sched_append_bytes_total"),
		appendErrors: set.GetOrCreateCounter("oleander_sched_append_errors_total"),
		reads:        set.GetOrCreateCounter("oleander_sched_reads_total"),
		calls:        set.GetOrCreateCounter("oleander_sched_worker_calls_total"),
		callErrors:   set.GetOrCreateCounter("oleander_sched_worker_failures_total"),
		starts:       set.GetOrCreateCounter("oleander_sched_starts_total"),
		done:         set.GetOrCreateCounter("oleander_sched_done_total"),
		freed:        set.GetOrCreateCounter("oleander_sched_freed_total"),
		lapsed:       set.GetOrCreateCounter("oleander_sched_lapsed_total"),
		claims:       set.GetOrCreateCounter("oleander_sched_claims_total"),
		refused:      set.GetOrCreateCounter("oleander_sched_refused_total"),
	}
}
