package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// serviceRules holds the rules that apply to one service.
type serviceRules struct {
	sheds       []shed
	maxInFlight int     // zero: unlimited
	rate        float64 // requests per second; zero: unlimited
	tokens      float64 // of the rate limit
	refilledAt  time.Time
}

// shed is a shed rule and the time since which the utilization has been above its threshold; zero if it is not above.
type shed struct {
	rules.Shed
	since time.Time
}

// SetRules replaces the rules.
func (c *Core) SetRules(set *rules.Set, now time.Time) {
	c.rules = set
	for _, s := range c.serviceList {
		s.applyRules(set)
		for _, m := range s.minions {
			if m != nil {
				m.drained = c.drained(m, now)
			}
		}
		s.refresh(now)
	}
}

func (s *service) applyRules(set *rules.Set) {
	old := s.rules
	s.rules = serviceRules{tokens: old.tokens, refilledAt: old.refilledAt}
	var objective time.Duration
	for _, o := range set.Objectives {
		if o.Service == s.id {
			objective = o.Latency
		}
	}
	s.queue.SetObjective(objective)
	for _, l := range set.Limits {
		if l.Service == s.id {
			s.rules.maxInFlight, s.rules.rate = l.InFlight, l.Rate
		}
	}
	for _, rule := range set.Sheds {
		if shedsService(rule.Target, s.id) {
			s.rules.sheds = append(s.rules.sheds, shed{Shed: rule, since: old.aboveSince(rule)})
		}
	}
}

// shedsService reports whether a shed rule applies to the requests of a service. A rule that targets VMs or a team does
// not apply: a request has no VM or team before it is assigned to a minion, and refusing requests of the whole service
// would exceed the rule.
func shedsService(t rules.Target, service oleanderline.ServiceID) bool {
	return t == rules.Target{} || t == rules.Target{Service: service}
}

// aboveSince returns the measurement of a shed rule in the previous revision, if that contained the same rule.
func (r *serviceRules) aboveSince(rule rules.Shed) time.Time {
	for i := range r.sheds {
		previous := &r.sheds[i]
		if previous.Metric == rule.Metric && previous.Above == rule.Above && previous.Target == rule.Target {
			return previous.since
		}
	}
	return time.Time{}
}

// observeUtilization records the busy part of the usable slots. An entry does not measure the CPU usage of minions, so
// the slot utilization stands in for the metric of every shed rule.
func (r *serviceRules) observeUtilization(utilization float64, now time.Time) {
	for i := range r.sheds {
		s := &r.sheds[i]
		switch {
		case utilization <= s.Above:
			s.since = time.Time{}
		case s.since.IsZero():
			s.since = now
		}
	}
}

// shedsLowPriority reports whether a shed rule refuses requests of low priority now.
func (r *serviceRules) shedsLowPriority(now time.Time) bool {
	for i := range r.sheds {
		s := &r.sheds[i]
		if !s.since.IsZero() && now.Sub(s.since) >= s.For && s.Active(now) {
			return true
		}
	}
	return false
}

// ruleRefusal returns the reason why a rule refuses a new request, or "" if none does.
func (s *service) ruleRefusal(r Request, now time.Time) Reason {
	if r.Priority == rules.PriorityLow && s.rules.shedsLowPriority(now) {
		return ReasonShed
	}
	if s.rules.rate > 0 && !s.takeToken(now) {
		return ReasonLimit
	}
	if s.rules.maxInFlight > 0 && s.running[0]+s.running[1]+s.queue.Len() >= s.rules.maxInFlight {
		return ReasonLimit
	}
	return ""
}

// belowInFlightLimit reports whether a limit rule allows one more exchange.
func (s *service) belowInFlightLimit() bool {
	return s.rules.maxInFlight == 0 || s.running[0]+s.running[1] < s.rules.maxInFlight
}

// takeToken takes one token of the rate limit, a token bucket that holds the tokens of a tenth of a second, but at least
// one.
func (s *service) takeToken(now time.Time) bool {
	r := &s.rules
	burst := max(1, r.rate/10)
	r.tokens = min(burst, r.tokens+now.Sub(r.refilledAt).Seconds()*r.rate)
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// drained reports whether an active drain rule applies to a minion. The VM of a minion has the same id as the minion.
func (c *Core) drained(m *minion, now time.Time) bool {
	for i := range c.rules.Drains {
		d := &c.rules.Drains[i]
		if d.Active(now) && targetMatches(d.Target, m.Minion) {
			return true
		}
	}
	return false
}

func targetMatches(t rules.Target, m Minion) bool {
	return t.Team == "" &&
		(t.VM == "" || t.VM == oleanderline.VMID(m.ID)) &&
		(t.Rack == "" || t.Rack == m.Rack) &&
		(t.Domain == "" || t.Domain == m.Domain) &&
		(t.Service == "" || t.Service == m.Service)
}
