package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// maxSeries bounds the memory of a counter to about 2 MB. 870 minions with 2 services each would pass it; the parts that
// find no room are counted together.
const maxSeries = 1200

// other is the name of the parts that found no room.
const other = "(other)"

// Dimension is a way to divide the requests of a service into parts.
type Dimension string

// Dimensions.
const (
	ByClass  Dimension = "class"
	ByMinion Dimension = "minion"
	ByDomain Dimension = "domain"
)

// Sample is one finished request.
type Sample struct {
	Service oleanderline.ServiceID
	Class   string
	Minion  oleanderline.MinionID // "" if the request reached none
	Domain  oleanderline.DomainID // of the minion
	Latency time.Duration
	Failed  bool // refused, failed or unknown: bad whatever its latency
}

type seriesKey struct {
	service   oleanderline.ServiceID
	dimension Dimension // "" for the whole service
	name      string
}

// Counter counts the requests at one entry. It is safe for concurrent use. Requests of services without an slo rule are
// not counted.
type Counter struct {
	mu         sync.Mutex
	objectives map[oleanderline.ServiceID]Objective
	series     map[seriesKey]*series
}

// Objective is what a service has promised.
type Objective struct {
	Latency time.Duration `json:"latency"`
	Target  float64       `json:"target"`
}

// NewCounter returns a counter without objectives.
func NewCounter() *Counter {
	return &Counter{objectives: map[oleanderline.ServiceID]Objective{}, series: map[seriesKey]*series{}}
}

// SetRules takes the objectives of a revision. Requests that were counted before stay as they were judged; the counts of
// a service that has no objective any longer are dropped.
func (c *Counter) SetRules(set *rules.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objectives = map[oleanderline.ServiceID]Objective{}
	for _, o := range set.Objectives {
		c.objectives[o.Service] = Objective{Latency: o.Latency, Target: o.Target}
	}
	for key := range c.series {
		if _, ok := c.objectives[key.service]; !ok {
			delete(c.series, key)
		}
	}
}

// Record counts one finished request.
func (c *Counter) Record(s Sample, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	objective, ok := c.objectives[s.Service]
	if !ok {
		return
	}
	good := !s.Failed && s.Latency <= objective.Latency
	c.find(seriesKey{service: s.Service}, now).record(now, good)
	c.find(seriesKey{s.Service, ByClass, cmp.Or(s.Class, "(default)")}, now).record(now, good)
	c.find(seriesKey{s.Service, ByMinion, cmp.Or(string(s.Minion), "(none)")}, now).record(now, good)
	c.find(seriesKey{s.Service, ByDomain, cmp.Or(string(s.Domain), "(none)")}, now).record(now, good)
}

// find returns the series, or the one that takes the place of those without room. A whole service always gets room,
// because the number of slo rules is bounded by the file.
func (c *Counter) find(key seriesKey, now time.Time) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= maxSeries && key.dimension != "" && !c.forget(now) {
		key.name = other
		if s, ok := c.series[key]; ok {
			return s
		}
	}
	s := newSeries(now)
	c.series[key] = s
	return s
}

// forget drops the series that have left every window, and reports whether there is room now.
func (c *Counter) forget(now time.Time) bool {
	last := levels[len(levels)-1]
	oldest := now.Add(-last.width * time.Duration(last.long))
	for key, s := range c.series {
		if s.last.Before(oldest) {
			delete(c.series, key)
		}
	}
	return len(c.series) < maxSeries
}

// Snapshot returns the counts as of now, services and parts in the order of their names.
func (c *Counter) Snapshot(now time.Time) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := Snapshot{Time: now}
	for service, objective := range c.objectives {
		s := Service{Service: service, Objective: objective}
		if whole, ok := c.series[seriesKey{service: service}]; ok {
			s.Counts = whole.counts(now)
			s.Recent = whole.recent(now)
		}
		snapshot.Services = append(snapshot.Services, s)
	}
	slices.SortFunc(snapshot.Services, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	index := map[oleanderline.ServiceID]int{}
	for i, s := range snapshot.Services {
		index[s.Service] = i
	}
	for key, s := range c.series {
		if key.dimension != "" {
			service := &snapshot.Services[index[key.service]]
			service.Parts = append(service.Parts, Part{Dimension: key.dimension, Name: key.name, Counts: s.counts(now)})
		}
	}
	for i := range snapshot.Services {
		slices.SortFunc(snapshot.Services[i].Parts, byName)
	}
	return snapshot
}
