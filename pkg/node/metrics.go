package node

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderline/oleanderline"
)

// nodeMetrics counts the calls of callers and the reads of the records.
type nodeMetrics struct {
	stored           *metrics.Counter
	unavailable      *metrics.Counter
	uncertain        *metrics.Counter
	relayed          *metrics.Counter
	handedOver       *metrics.Counter
	handOverFailures *metrics.Counter
	appendedForPeers *metrics.Counter
	overloaded       *metrics.Counter
	conflicts        *metrics.Counter
	unknown          *metrics.Counter
	notReady         *metrics.Counter
	states           *metrics.Counter
	reads            *metrics.Counter
	readErrors       *metrics.Counter
	claims           *metrics.Counter
	storeTime        *metrics.Histogram
}

func newNodeMetrics(set *metrics.Set, node *Node) *nodeMetrics {
	set.GetOrCreateGauge("oleander_cell_read_age_seconds", node.readAge)                                                // time since the last successful read of the records
	set.GetOrCreateGauge("oleander_cell_records_age_seconds", node.recordsAge)                                          // time since the process had read every record of the log
	set.GetOrCreateGauge("oleander_cell_leads", node.isLeader)                                                          // 1 while this process is the leader
	set.GetOrCreateGauge("oleander_cell_domains_out_of_service", node.domainsOut)                                       // failure domains that operators have taken out of service, as far as this process knows
	set.GetOrCreateGauge("oleander_cell_domain_waiting_tasks", node.domainWaiting)                                      // on the leader: tasks that wait because only workers in such domains can take them
	set.GetOrCreateGauge("oleander_cell_append_answer_seconds", node.appendAnswer)                                      // answer time of this process's appends lately; 0 if there were none
	set.GetOrCreateGauge("oleander_cell_large_jobs_bytes", func() float64 { return float64(node.replica.LargeJobs()) }) // estimated memory of the large jobs whose records are kept
	return &nodeMetrics{
		stored:           set.GetOrCreateCounter("oleander_cell_stored_total"),             // submissions and cancellations that were stored
		unavailable:      set.GetOrCreateCounter("oleander_cell_not_stored_total"),         // submissions and cancellations that were certainly not stored
		uncertain:        set.GetOrCreateCounter("oleander_cell_maybe_stored_total"),       // submissions and cancellations that may have been stored
		relayed:          set.GetOrCreateCounter("oleander_cell_relayed_total"),            // calls that were relayed to a peer
		handedOver:       set.GetOrCreateCounter("oleander_cell_handed_over_total"),        // submissions and cancellations that were handed to an appender, because the log answers slowly
		handOverFailures: set.GetOrCreateCounter("oleander_cell_handover_failures_total"),  // of these, those that the appender did not store or did not answer
		appendedForPeers: set.GetOrCreateCounter("oleander_cell_appended_for_peers_total"), // records that this process was asked to append for others
		overloaded:       set.GetOrCreateCounter("oleander_cell_overloaded_total"),         // submissions that were refused because their tasks could not be started in time, or because large jobs took up too much memory
		conflicts:        set.GetOrCreateCounter("oleander_cell_conflicts_total"),          // submissions whose id is already used by a different job
		unknown:          set.GetOrCreateCounter("oleander_cell_unknown_jobs_total"),       // calls for unknown jobs
		notReady:         set.GetOrCreateCounter("oleander_cell_not_ready_total"),          // calls that this process could not answer because its records were missing or stale
		states:           set.GetOrCreateCounter("oleander_cell_states_total"),             // calls for the state of a job
		reads:            set.GetOrCreateCounter("oleander_cell_reads_total"),              // reads of the records
		readErrors:       set.GetOrCreateCounter("oleander_cell_read_failures_total"),      // reads of the records that failed
		claims:           set.GetOrCreateCounter("oleander_cell_claims_total"),             // claims of leadership, including failed ones
		storeTime:        set.GetOrCreateHistogram("oleander_cell_store_seconds"),          // time until a submission or cancellation was stored or failed
	}
}

// countStore counts the result of a call that stores a record.
func (m *nodeMetrics) countStore(err error) {
	switch {
	case err == nil:
		m.stored.Inc()
	case errors.Is(err, oleanderline.ErrUncertain):
		m.uncertain.Inc()
	default:
		m.unavailable.Inc()
	}
}

// readAge is the value of a gauge: the age of the last successful read in seconds.
func (n *Node) readAge() float64 {
	age, loaded := n.replica.ReadAge(n.common.Clock.Now())
	if !loaded {
		return -1 // no read has succeeded yet
	}
	return age.Seconds()
}

// recordsAge is the value of a gauge: for how long the records of this process may have been incomplete, in seconds.
func (n *Node) recordsAge() float64 {
	age, known := n.replica.Age(n.common.Clock.Now())
	if !known {
		return -1 // the end of the log has not been reached yet
	}
	return age.Seconds()
}

// isLeader is the value of a gauge: 1 on the leader, 0 otherwise.
func (n *Node) isLeader() float64 {
	if s := n.session.Load(); s != nil && !s.Ended() {
		return 1
	}
	return 0
}

// domainsOut is the value of a gauge: the number of failure domains out of service.
func (n *Node) domainsOut() float64 { return float64(len(n.evacuations.current().Domains())) }

// domainWaiting is the value of a gauge: on the leader, the number of tasks that wait for such domains.
func (n *Node) domainWaiting() float64 {
	if s := n.session.Load(); s != nil && !s.Ended() {
		return float64(s.WaitingForDomains())
	}
	return 0
}

// appendAnswer is the value of a gauge: the answer time of the appends of this process in seconds.
func (n *Node) appendAnswer() float64 { return n.policy.Answer(n.common.Clock.Now()).Seconds() }
