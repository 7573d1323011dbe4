package rules

import "github.com/VictoriaMetrics/metrics"

// followerMetrics holds the metrics of one follower.
type followerMetrics struct {
	accepted  *metrics.Counter
	refused   *metrics.Counter
	malformed *metrics.Counter
	gaps      *metrics.Counter
}

func newFollowerMetrics(set *metrics.Set, f *Follower) *followerMetrics {
	set.GetOrCreateGauge("oleander_rules_revision", func() float64 { return float64(f.Current().Revision) })          // revision of the rules in force; 0 before the first revision
	set.GetOrCreateGauge("oleander_rules_age_seconds", func() float64 { return f.Status().Age.Seconds() })            // time since the log service last confirmed that the revision in force is the newest; negative if it never did
	set.GetOrCreateGauge("oleander_rules_ignored_lines", func() float64 { return float64(len(f.Current().Unknown)) }) // lines of the rules that are ignored because this version does not know them
	return &followerMetrics{
		accepted:  set.GetOrCreateCounter("oleander_rules_accepted_total"),  // entries of the rules stream that were accepted as revisions
		refused:   set.GetOrCreateCounter("oleander_rules_refused_total"),   // entries that were refused because their base was not the newest revision
		malformed: set.GetOrCreateCounter("oleander_rules_malformed_total"), // entries that were ignored because they could not be decoded
		gaps:      set.GetOrCreateCounter("oleander_rules_gaps_total"),      // gaps in the rules stream: retention removed entries before they were read
	}
}
