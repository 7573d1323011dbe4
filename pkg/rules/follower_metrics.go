package rules

import "github.com/VictoriaMetrics/metrics"

// followerMetrics are the measurements of one follower.
type followerMetrics struct {
	accepted  *metrics.Counter
	refused   *metrics.Counter
	malformed *metrics.Counter
	gaps      *metrics.Counter
}

func newFollowerMetrics(set *metrics.Set, f *Follower) *followerMetrics {
	set.GetOrCreateGauge("oleander_rules_revision", func() float64 { return float64(f.Current().Revision) })          // revision of the rules in force; 0 without any
	set.GetOrCreateGauge("oleander_rules_age_seconds", func() float64 { return f.Status().Age.Seconds() })            // time since the log service last confirmed the revision; negative if it never did
	set.GetOrCreateGauge("oleander_rules_ignored_lines", func() float64 { return float64(len(f.Current().Unknown)) }) // lines of the rules that this version does not know
	return &followerMetrics{
		accepted:  set.GetOrCreateCounter("oleander_rules_accepted_total"),  // entries that were accepted as revisions
		refused:   set.GetOrCreateCounter("oleander_rules_refused_total"),   // entries that lost a race
		malformed: set.GetOrCreateCounter("oleander_rules_malformed_total"), // entries that are not in the format
		gaps:      set.GetOrCreateCounter("oleander_rules_gaps_total"),      // times at which retention removed entries before they were read
	}
}
