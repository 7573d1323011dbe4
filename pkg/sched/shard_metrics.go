package sched

import "github.com/VictoriaMetrics/metrics"

// shardMetrics count what all shards of the process do.
type shardMetrics struct {
	appends        *metrics.Counter
	appendBytes    *metrics.Counter
	appendErrors   *metrics.Counter
	reads          *metrics.Counter
	calls          *metrics.Counter
	callErrors     *metrics.Counter
	starts         *metrics.Counter
	done           *metrics.Counter
	freed          *metrics.Counter
	preempted      *metrics.Counter
	throttled      *metrics.Counter
	evicted        *metrics.Counter
	slowdowns      *metrics.Counter
	slowdownErrors *metrics.FloatCounter
	lapsed         *metrics.Counter
	claims         *metrics.Counter
	refused        *metrics.Counter
}

func newShardMetrics(set *metrics.Set) *shardMetrics {
	return &shardMetrics{
		appends:        set.GetOrCreateCounter("oleander_sched_appends_total"),             // appends to the shards' streams, with repeated ones
		appendBytes:    set.GetOrCreateCounter("oleander_sched_append_bytes_total"),        // bytes of these appends
		appendErrors:   set.GetOrCreateCounter("oleander_sched_append_errors_total"),       // appends that failed or whose answer was lost
		reads:          set.GetOrCreateCounter("oleander_sched_reads_total"),               // reads of the shards' streams
		calls:          set.GetOrCreateCounter("oleander_sched_worker_calls_total"),        // calls to workers
		callErrors:     set.GetOrCreateCounter("oleander_sched_worker_failures_total"),     // times at which a worker stopped answering
		starts:         set.GetOrCreateCounter("oleander_sched_starts_total"),              // attempts that a worker has confirmed
		done:           set.GetOrCreateCounter("oleander_sched_done_total"),                // tasks that are recorded as done
		preempted:      set.GetOrCreateCounter("oleander_sched_preempted_total"),           // batch tasks stopped by checkpoint for urgent ones
		throttled:      set.GetOrCreateCounter("oleander_sched_throttled_total"),           // batch tasks throttled for latency-critical instances
		evicted:        set.GetOrCreateCounter("oleander_sched_evicted_total"),             // batch tasks moved away from latency-critical instances
		slowdowns:      set.GetOrCreateCounter("oleander_sched_slowdowns_total"),           // measured slowdowns that were compared with a prediction
		slowdownErrors: set.GetOrCreateFloatCounter("oleander_sched_slowdown_error_total"), // sum of the absolute errors of these predictions
		freed:          set.GetOrCreateCounter("oleander_sched_freed_total"),               // attempts that ended without completing their task
		lapsed:         set.GetOrCreateCounter("oleander_sched_lapsed_total"),              // attempts given up because their lease expired at a worker that does not answer
		claims:         set.GetOrCreateCounter("oleander_sched_claims_total"),              // times at which this process became the owner of a shard
		refused:        set.GetOrCreateCounter("oleander_sched_refused_total"),             // submissions refused as not run because of the log service
	}
}
