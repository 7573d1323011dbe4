package sched

import "github.com/VictoriaMetrics/metrics"

// shardMetrics are the metrics of all shards of the process together.
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
	expired        *metrics.Counter
	claims         *metrics.Counter
	refused        *metrics.Counter
}

func newShardMetrics(set *metrics.Set) *shardMetrics {
	return &shardMetrics{
		appends:        set.GetOrCreateCounter("oleander_sched_appends_total"),             // appends to the shards' streams, including repeated ones
		appendBytes:    set.GetOrCreateCounter("oleander_sched_append_bytes_total"),        // bytes of these appends
		appendErrors:   set.GetOrCreateCounter("oleander_sched_append_errors_total"),       // appends that failed or whose answer was lost
		reads:          set.GetOrCreateCounter("oleander_sched_reads_total"),               // reads of the shards' streams
		calls:          set.GetOrCreateCounter("oleander_sched_worker_calls_total"),        // calls to workers
		callErrors:     set.GetOrCreateCounter("oleander_sched_worker_failures_total"),     // times at which calls to a worker began to fail
		starts:         set.GetOrCreateCounter("oleander_sched_starts_total"),              // attempts that a worker has confirmed
		done:           set.GetOrCreateCounter("oleander_sched_done_total"),                // tasks recorded as done
		preempted:      set.GetOrCreateCounter("oleander_sched_preempted_total"),           // batch tasks preempted with a checkpoint for urgent tasks
		throttled:      set.GetOrCreateCounter("oleander_sched_throttled_total"),           // batch tasks throttled to reduce interference with latency-critical instances
		evicted:        set.GetOrCreateCounter("oleander_sched_evicted_total"),             // batch tasks evicted to end interference with latency-critical instances
		slowdowns:      set.GetOrCreateCounter("oleander_sched_slowdowns_total"),           // measured slowdowns that were compared with a prediction
		slowdownErrors: set.GetOrCreateFloatCounter("oleander_sched_slowdown_error_total"), // sum of the absolute errors of these predictions
		freed:          set.GetOrCreateCounter("oleander_sched_freed_total"),               // attempts that ended without completing their task
		expired:        set.GetOrCreateCounter("oleander_sched_lapsed_total"),              // attempts freed because their lease expired at a worker that does not answer
		claims:         set.GetOrCreateCounter("oleander_sched_claims_total"),              // times at which this process became the owner of a shard
		refused:        set.GetOrCreateCounter("oleander_sched_refused_total"),             // submissions answered as not run because the log service was slow or unavailable
	}
}
