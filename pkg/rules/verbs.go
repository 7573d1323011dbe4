package rules

import (
	"slices"
	"strings"

	"github.com/oleanderline/oleanderline"
)

// verb describes one kind of rule.
type verb struct {
	name string
	keys []string
	read func(l *line, s *Set)
}

var (
	targetKeys = []string{"vm", "rack", "domain", "service", "team"}
	windowKeys = []string{"at", "from", "until", "zone"}
)

// verbs defines the rules language. Messages list the verbs and keys in this order.
var verbs = []verb{
	{"drain", keys([]string{"vm", "rack", "domain", "service"}, windowKeys), readDrain},
	{"shed", keys([]string{"when", "for"}, targetKeys, windowKeys), readShed},
	{"hold", keys([]string{"cpu", "mem", "acc"}, targetKeys, windowKeys), readHold},
	{"quota", []string{"team", "cpu", "mem", "acc"}, readQuota},
	{"slo", []string{"service", "latency", "target"}, readObjective},
	{"class", []string{"name", "service", "path", "priority", "long"}, readClass},
	{"limit", []string{"service", "inflight", "rate"}, readLimitRule},
}

func keys(groups ...[]string) []string {
	var all []string
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}

func verbNames() []string {
	names := make([]string, len(verbs))
	for i, v := range verbs {
		names[i] = v.name
	}
	return names
}

func findVerb(name string) *verb {
	for i := range verbs {
		if verbs[i].name == name {
			return &verbs[i]
		}
	}
	return nil
}

// target parses those target keys that the verb allows.
func (l *line) target(required bool) Target {
	t := Target{}
	var targets []string
	for _, key := range targetKeys {
		if !slices.Contains(l.allowed, key) {
			continue
		}
		targets = append(targets, key)
		value := l.id(key)
		switch key {
		case "vm":
			t.VM = oleanderline.VMID(value)
		case "rack":
			t.Rack = oleanderline.RackID(value)
		case "domain":
			t.Domain = oleanderline.DomainID(value)
		case "service":
			t.Service = oleanderline.ServiceID(value)
		case "team":
			t.Team = oleanderline.TeamID(value)
		}
	}
	if required && t == (Target{}) {
		l.addError(l.column, "one or more of "+strings.Join(targets, ", "), "", "%s needs a target", l.verb)
	}
	return t
}

// complete finishes the line and reports whether the rule has no errors.
func (l *line) complete() bool {
	l.finish()
	return !l.failed
}

func readDrain(l *line, s *Set) {
	r := Drain{Origin: l.origin(), Target: l.target(true), Window: l.window()}
	if l.complete() {
		s.Drains = append(s.Drains, r)
	}
}

func readShed(l *line, s *Set) {
	r := Shed{Origin: l.origin(), Target: l.target(false), Window: l.window()}
	r.For = l.duration(l.take("for"))
	const allowed = "cpu>SHARE, such as cpu>85%"
	if f := l.require("when", allowed); f != nil {
		metric, threshold, found := strings.Cut(f.value, ">")
		above, ok := percent(threshold)
		if !found || !ok || metric != "cpu" {
			l.badValue(f, allowed)
		}
		r.Metric, r.Above = metric, above
	}
	if l.complete() {
		s.Sheds = append(s.Sheds, r)
	}
}

func readHold(l *line, s *Set) {
	r := Hold{Origin: l.origin(), Target: l.target(true), Window: l.window()}
	if f := l.take("cpu"); f != nil && strings.HasSuffix(f.value, "%") {
		r.Share = l.share(f)
		if l.has("mem") || l.has("acc") {
			l.addError(f.column, "cpu=SHARE alone, or any of cpu=CORES, mem and acc", "", "a share and an amount are mixed")
		}
	}
	if r.Share == 0 {
		r.Size = l.size()
	} else {
		l.take("mem")
		l.take("acc")
	}
	if r.Share == 0 && !l.has("cpu") && !l.has("mem") && !l.has("acc") {
		l.addError(l.column, "cpu=20%, or any of cpu=CORES, mem and acc", "", "hold needs an amount")
	}
	if l.complete() {
		s.Holds = append(s.Holds, r)
	}
}

func (l *line) share(f *field) float64 {
	share, ok := percent(f.value)
	if !ok {
		l.badValue(f, allowedShare)
	}
	return share
}

func (l *line) size() oleanderline.Size {
	return oleanderline.Size{
		CPU:          l.cores("cpu"),
		Memory:       l.memory("mem"),
		Accelerators: oleanderline.Accelerators(l.count("acc")),
	}
}

func readQuota(l *line, s *Set) {
	r := Quota{Origin: l.origin(), Team: oleanderline.TeamID(l.requireID("team")), Size: l.size()}
	if !l.has("cpu") && !l.has("mem") && !l.has("acc") {
		l.addError(l.column, "one or more of cpu, mem, acc", "", "quota needs an amount")
	}
	if l.complete() {
		s.Quotas = append(s.Quotas, r)
	}
}

func readObjective(l *line, s *Set) {
	r := Objective{Origin: l.origin(), Service: oleanderline.ServiceID(l.requireID("service"))}
	r.Latency = l.duration(l.require("latency", "80ms"))
	const allowed = "a percentage above 0% and below 100%, such as 99.9%"
	if f := l.require("target", "99.9%"); f != nil {
		share, ok := percent(f.value)
		if !ok || share >= 1 {
			l.badValue(f, allowed)
		}
		r.Target = share
	}
	if l.complete() {
		s.Objectives = append(s.Objectives, r)
	}
}

func readClass(l *line, s *Set) {
	r := Class{
		Origin:   l.origin(),
		Name:     l.requireID("name"),
		Service:  oleanderline.ServiceID(l.id("service")),
		Path:     l.id("path"),
		Priority: PriorityNormal,
	}
	if f := l.take("path"); f != nil && !strings.HasPrefix(r.Path, "/") {
		l.badValue(f, "a path that begins with /")
	}
	if l.has("path") && !l.has("service") {
		l.addError(l.column, "path together with service", "", "path is given without service")
	}
	if i := l.choice("priority", "low", "normal", "high"); i >= 0 {
		r.Priority = PriorityLow + Priority(i)
	}
	r.Long = l.choice("long", "no", "yes") == 1
	if !l.has("priority") && !l.has("long") {
		l.addError(l.column, "priority, long or both", "", "class changes nothing")
	}
	if l.complete() {
		s.Classes = append(s.Classes, r)
	}
}

func readLimitRule(l *line, s *Set) {
	r := Limit{Origin: l.origin(), Service: oleanderline.ServiceID(l.requireID("service")), InFlight: l.count("inflight")}
	if f := l.take("rate"); f != nil {
		rate, ok := number(strings.TrimSuffix(f.value, "/s"))
		if !ok || rate <= 0 {
			l.badValue(f, allowedRate)
		}
		r.Rate = rate
	}
	if !l.has("inflight") && !l.has("rate") {
		l.addError(l.column, "inflight, rate or both", "", "limit needs an amount")
	}
	if l.complete() {
		s.Limits = append(s.Limits, r)
	}
}
