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
	set.GetOrCreateGauge("oleander_rules_revision", func() float64 { return float64(f.Current().Revision) })
	set.GetOrCreateGauge("oleander_rules_age_seconds", func() float64 { return f.Status().Age.Seconds() })
	set.GetOrCreateGauge("oleander_rules_ignored_lines", func() float64 { return float64(len(f.Current().Unknown)) })
	return &followerMetrics{
		accepted:  set.GetOrCreateCounter("oleander_rules_accepted_total"),
		refused:   set.GetOrCreateCounter("oleander_rules_refused_total"),
		malformed: set.GetOrCreateCounter("oleander_rules_malformed_total"),
		gaps:      set.GetOrCreateCounter("oleander_rules_gaps_total"),
	}
}
