package node

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
)

// nodeMetrics count what a process does for callers and what it reads.
type nodeMetrics struct {
	stored      *metrics.Counter
	unavailable *metrics.Counter
	uncertain   *metrics.Counter
	relayed     *metrics.Counter
	conflicts   *metrics.Counter
	unknown     *metrics.Counter
	notReady    *metrics.Counter
	states      *metrics.Counter
	reads       *metrics.Counter
	readErrors  *metrics.Counter
	claims      *metrics.Counter
	storeTime   *metrics.Histogram
}

func newNodeMetrics(set *metrics.Set, node *Node) *nodeMetrics {
	set.GetOrCreateGauge("oleander_cell_read_age_seconds", node.readAge) // age of the newest read of the records
	set.GetOrCreateGauge("oleander_cell_leads", node.leads)              // 1 while this process leads
	return &nodeMetrics{
		stored:      set.GetOrCreateCounter("oleander_cell_stored_total"),        // submissions and cancellations that were stored
		unavailable: set.GetOrCreateCounter("oleander_cell_not_stored_total"),    // submissions and cancellations that were surely not stored
		uncertain:   set.GetOrCreateCounter("oleander_cell_maybe_stored_total"),  // submissions and cancellations that may have been stored
		relayed:     set.GetOrCreateCounter("oleander_cell_relayed_total"),       // calls that went through a peer
		conflicts:   set.GetOrCreateCounter("oleander_cell_conflicts_total"),     // submissions whose id names another job
		unknown:     set.GetOrCreateCounter("oleander_cell_unknown_jobs_total"),  // calls for jobs that are not known
		notReady:    set.GetOrCreateCounter("oleander_cell_not_ready_total"),     // calls that this process could not answer yet
		states:      set.GetOrCreateCounter("oleander_cell_states_total"),        // states of jobs told to callers
		reads:       set.GetOrCreateCounter("oleander_cell_reads_total"),         // reads of the records
		readErrors:  set.GetOrCreateCounter("oleander_cell_read_failures_total"), // reads of the records that failed
		claims:      set.GetOrCreateCounter("oleander_cell_claims_total"),        // claims of leadership, with those that failed
		storeTime:   set.GetOrCreateHistogram("oleander_cell_store_seconds"),     // time in which a submission or cancellation was answered
	}
}

// storeEnded counts how a call that stores has ended.
func (m *nodeMetrics) storeEnded(err error) {
	switch {
	case err == nil:
		m.stored.Inc()
	case errors.Is(err, oleanderline.ErrUncertain):
		m.uncertain.Inc()
	default:
		m.unavailable.Inc()
	}
}

func (n *Node) readAge() float64 {
	age, loaded := n.replica.Age(n.common.Clock.Now())
	if !loaded {
		return -1 // nothing was read yet
	}
	return age.Seconds()
}

func (n *Node) leads() float64 {
	if s := n.session.Load(); s != nil && !s.Ended() {
		return 1
	}
	return 0
}
