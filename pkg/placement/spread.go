package placement

import "github.com/oleanderline/oleanderline"

// Spread counts the instances of one latency-critical job by failure domain, rack and worker.
type Spread struct {
	domains map[oleanderline.DomainID]int
	racks   map[rackID]int
	workers map[oleanderline.WorkerID]int
}

// rackID identifies a rack. The id of a rack is unique only within its failure domain.
type rackID struct {
	domain oleanderline.DomainID
	id     oleanderline.RackID
}

// instanceCount holds the numbers of instances that are already in the failure domain, in the rack and on the worker of a
// candidate.
type instanceCount struct{ domain, rack, worker int }

func (s instanceCount) less(other instanceCount) bool {
	if s.domain != other.domain {
		return s.domain < other.domain
	}
	if s.rack != other.rack {
		return s.rack < other.rack
	}
	return s.worker < other.worker
}

// NewSpread returns a Spread without instances.
func NewSpread() *Spread {
	return &Spread{
		domains: map[oleanderline.DomainID]int{}, racks: map[rackID]int{}, workers: map[oleanderline.WorkerID]int{},
	}
}

// Add counts one instance.
func (s *Spread) Add(worker oleanderline.WorkerID, domain oleanderline.DomainID, id oleanderline.RackID) {
	s.domains[domain]++
	s.racks[rackID{domain, id}]++
	s.workers[worker]++
}

// count returns the numbers of instances that would share the domain, rack and worker of a candidate.
func (s *Spread) count(c *Candidate) instanceCount {
	return instanceCount{s.domains[c.Domain], s.racks[rackID{c.Domain, c.Rack}], s.workers[c.Worker]}
}
