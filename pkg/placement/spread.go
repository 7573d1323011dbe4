package placement

import "github.com/oleanderline/oleanderline"

// Spread counts where the instances of one latency-critical job are.
type Spread struct {
	domains map[oleanderline.DomainID]int
	racks   map[rack]int
	workers map[oleanderline.WorkerID]int
}

// rack names a rack. Its id is unique only inside its failure domain.
type rack struct {
	domain oleanderline.DomainID
	id     oleanderline.RackID
}

// spreadCount is the number of instances that share a domain, a rack and a worker.
type spreadCount struct{ domain, rack, worker int }

func (s spreadCount) less(other spreadCount) bool {
	if s.domain != other.domain {
		return s.domain < other.domain
	}
	if s.rack != other.rack {
		return s.rack < other.rack
	}
	return s.worker < other.worker
}

// NewSpread returns a count of nothing.
func NewSpread() *Spread {
	return &Spread{
		domains: map[oleanderline.DomainID]int{}, racks: map[rack]int{}, workers: map[oleanderline.WorkerID]int{},
	}
}

// Add counts one instance.
func (s *Spread) Add(worker oleanderline.WorkerID, domain oleanderline.DomainID, id oleanderline.RackID) {
	s.domains[domain]++
	s.racks[rack{domain, id}]++
	s.workers[worker]++
}

func (s *Spread) count(c *Candidate) spreadCount {
	return spreadCount{s.domains[c.Domain], s.racks[rack{c.Domain, c.Rack}], s.workers[c.Worker]}
}
