package burn

import (
	"cmp"
	"slices"

	"github.com/oleanderline/oleanderline"
)

// Merge adds up the snapshots of several entries. If their objectives differ, because a revision of the rules is not yet in
// force at every entry, the objectives of the newest snapshot apply.
func Merge(snapshots []Snapshot) Snapshot {
	sorted := slices.Clone(snapshots)
	slices.SortStableFunc(sorted, func(a, b Snapshot) int { return a.Time.Compare(b.Time) })
	services := map[oleanderline.ServiceID]*Service{}
	var merged Snapshot
	for _, snapshot := range sorted {
		merged.Time = snapshot.Time
		for _, s := range snapshot.Services {
			sum, ok := services[s.Service]
			if !ok {
				sum = &Service{Service: s.Service}
				services[s.Service] = sum
			}
			sum.add(s)
		}
	}
	for _, s := range services {
		merged.Services = append(merged.Services, *s)
	}
	slices.SortFunc(merged.Services, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	return merged
}

func (s *Service) add(other Service) {
	s.Objective = other.Objective
	s.Counts = s.Counts.Add(other.Counts)
	if s.Recent == nil {
		s.Recent = slices.Clone(other.Recent)
	} else {
		for i := range min(len(s.Recent), len(other.Recent)) {
			s.Recent[i] = s.Recent[i].Add(other.Recent[i])
		}
	}
	for _, p := range other.Parts {
		i, found := slices.BinarySearchFunc(s.Parts, p, byName)
		if !found {
			s.Parts = slices.Insert(s.Parts, i, p)
			continue
		}
		s.Parts[i].Counts = s.Parts[i].Counts.Add(p.Counts)
	}
}
