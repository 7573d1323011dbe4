package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// maxSeries limits the memory of a counter to about 2 MB. 870 minions with 2 services each would exceed it; the requests of
// parts beyond the limit are counted together, as otherParts.
const maxSeries = 1200

// otherParts is the name under which parts beyond maxSeries are counted together.
const otherParts = "(other)"

// Dimension is an attribute by which the requests of a service are divided into parts.
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
	Minion  oleanderline.MinionID // "" if the request was not sent to a minion
	Domain  oleanderline.DomainID // of the minion
	Latency time.Duration
	Failed  bool // refused, failed or result unknown: counts as bad regardless of latency
}

type seriesKey struct {
	service   oleanderline.ServiceID
	dimension Dimension // "" for the service as a whole
	name      string
}

// Counter counts the requests of one entry against the objectives of their services. Requests of services without an slo
// rule are not counted. It is safe for concurrent use.
type Counter struct {
	mu         sync.Mutex
	objectives map[oleanderline.ServiceID]Objective
	series     map[seriesKey]*series
}

// Objective is the service-level objective of a service: at least the fraction Target of its requests must succeed within
// Latency.
type Objective struct {
	Latency time.Duration `json:"latency"`
	Target  float64       `json:"target"`
}

// NewCounter returns a counter without objectives.
func NewCounter() *Counter {
	return &Counter{objectives: map[oleanderline.ServiceID]Objective{}, series: map[seriesKey]*series{}}
}

// SetRules replaces the objectives by those of a revision of the rules. Requests already counted are not classified again;
// the counts of services that no longer have an objective are dropped.
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
	c.seriesFor(seriesKey{service: s.Service}, now).record(now, good)
	c.seriesFor(seriesKey{s.Service, ByClass, cmp.Or(s.Class, "(default)")}, now).record(now, good)
	c.seriesFor(seriesKey{s.Service, ByMinion, cmp.Or(string(s.Minion), "(none)")}, now).record(now, good)
	c.seriesFor(seriesKey{s.Service, ByDomain, cmp.Or(string(s.Domain), "(none)")}, now).record(now, good)
}

// seriesFor returns the series with a key, created if necessary. Beyond maxSeries it returns the series for otherParts
// instead. The series of a whole service is always created, because the size of the rules file limits the number of slo rules.
func (c *Counter) seriesFor(key seriesKey, now time.Time) *series {
	if s, ok := c.series[key]; ok {
		return s
	}
	if len(c.series) >= maxSeries && key.dimension != "" && !c.evictExpired(now) {
		key.name = otherParts
		if s, ok := c.series[key]; ok {
			return s
		}
	}
	s := newSeries(now)
	c.series[key] = s
	return s
}

// evictExpired removes the series without requests in any window, and reports whether another series may be created.
func (c *Counter) evictExpired(now time.Time) bool {
	coarsest := levels[len(levels)-1]
	oldest := now.Add(-coarsest.bucketWidth * time.Duration(coarsest.longBuckets))
	for key, s := range c.series {
		if s.lastRequest.Before(oldest) {
			delete(c.series, key)
		}
	}
	return len(c.series) < maxSeries
}

// Snapshot returns the counts as of now, with services sorted by name and parts by dimension and name.
func (c *Counter) Snapshot(now time.Time) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := Snapshot{Time: now}
	for service, objective := range c.objectives {
		s := Service{Service: service, Objective: objective}
		if total, ok := c.series[seriesKey{service: service}]; ok {
			s.Counts = total.counts(now)
			s.Recent = total.recent(now)
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
