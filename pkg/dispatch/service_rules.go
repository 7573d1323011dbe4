package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// serviceRules are the rules that apply to one service.
type serviceRules struct {
	sheds    []shed
	inFlight int     // zero: no bound
	rate     float64 // zero: no bound
	tokens   float64
	filledAt time.Time
}

// shed is a shed rule and the time since which the measurement has stood above its threshold; zero if it does not.
type shed struct {
	rules.Shed
	since time.Time
}

// SetRules replaces the rules.
func (c *Core) SetRules(set *rules.Set, now time.Time) {
	c.rules = set
	for _, s := range c.order {
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
	s.rules = serviceRules{tokens: old.tokens, filledAt: old.filledAt}
	var objective time.Duration
	for _, o := range set.Objectives {
		if o.Service == s.id {
			objective = o.Latency
		}
	}
	s.gate.SetObjective(objective)
	for _, l := range set.Limits {
		if l.Service == s.id {
			s.rules.inFlight, s.rules.rate = l.InFlight, l.Rate
		}
	}
	for _, rule := range set.Sheds {
		if shedsService(rule.Target, s.id) {
			s.rules.sheds = append(s.rules.sheds, shed{Shed: rule, since: old.aboveSince(rule)})
		}
	}
}

// shedsService reports whether a shed rule is about the requests of a service. A target that selects VMs or a team is not:
// a request has neither before it has a minion, and refusing those of the whole service would go beyond the rule.
func shedsService(t rules.Target, service oleanderline.ServiceID) bool {
	return t == rules.Target{} || t == rules.Target{Service: service}
}

// aboveSince keeps the measurement of a rule that a new revision contains as well.
func (r *serviceRules) aboveSince(rule rules.Shed) time.Time {
	for i := range r.sheds {
		known := &r.sheds[i]
		if known.Metric == rule.Metric && known.Above == rule.Above && known.Target == rule.Target {
			return known.since
		}
	}
	return time.Time{}
}

// observeLoad records the part of the usable slots that is busy. An entry has no measurement of the minions' processors,
// so that this part stands for the metric of every shed rule.
func (r *serviceRules) observeLoad(load float64, now time.Time) {
	for i := range r.sheds {
		s := &r.sheds[i]
		switch {
		case load <= s.Above:
			s.since = time.Time{}
		case s.since.IsZero():
			s.since = now
		}
	}
}

// sheddingLow reports whether a rule refuses requests of low priority now.
func (r *serviceRules) sheddingLow(now time.Time) bool {
	for i := range r.sheds {
		s := &r.sheds[i]
		if !s.since.IsZero() && now.Sub(s.since) >= s.For && s.Active(now) {
			return true
		}
	}
	return false
}

// ruleRefuses returns the reason for which a rule refuses a new request, or "".
func (s *service) ruleRefuses(r Request, now time.Time) Reason {
	if r.Priority == rules.PriorityLow && s.rules.sheddingLow(now) {
		return ReasonShed
	}
	if s.rules.rate > 0 && !s.takeToken(now) {
		return ReasonLimit
	}
	if s.rules.inFlight > 0 && s.running[0]+s.running[1]+s.gate.Len() >= s.rules.inFlight {
		return ReasonLimit
	}
	return ""
}

func (s *service) withinLimit() bool {
	return s.rules.inFlight == 0 || s.running[0]+s.running[1] < s.rules.inFlight
}

// takeToken applies a rate limit with a burst of a tenth of a second, at least one request.
func (s *service) takeToken(now time.Time) bool {
	r := &s.rules
	burst := max(1, r.rate/10)
	r.tokens = min(burst, r.tokens+now.Sub(r.filledAt).Seconds()*r.rate)
	r.filledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// drained reports whether a drain rule empties a minion. A minion's VM has the minion's id.
func (c *Core) drained(m *minion, now time.Time) bool {
	for i := range c.rules.Drains {
		d := &c.rules.Drains[i]
		if d.Active(now) && targets(d.Target, m.Minion) {
			return true
		}
	}
	return false
}

func targets(t rules.Target, m Minion) bool {
	return t.Team == "" &&
		(t.VM == "" || t.VM == oleanderline.VMID(m.ID)) &&
		(t.Rack == "" || t.Rack == m.Rack) &&
		(t.Domain == "" || t.Domain == m.Domain) &&
		(t.Service == "" || t.Service == m.Service)
}
