package rules

import (
	"strings"

	"github.com/oleanderline/oleanderline"
)

// Objective returns the objective of a service. If there are several, the last applies.
func (s *Set) Objective(service oleanderline.ServiceID) (Objective, bool) {
	for i := len(s.Objectives) - 1; i >= 0; i-- {
		if s.Objectives[i].Service == service {
			return s.Objectives[i], true
		}
	}
	return Objective{}, false
}

// Quota returns the quota of a team. If there are several, the last applies.
func (s *Set) Quota(team oleanderline.TeamID) (Quota, bool) {
	for i := len(s.Quotas) - 1; i >= 0; i-- {
		if s.Quotas[i].Team == team {
			return s.Quotas[i], true
		}
	}
	return Quota{}, false
}

// Limit returns the limit of a service. If there are several, the last applies.
func (s *Set) Limit(service oleanderline.ServiceID) (Limit, bool) {
	for i := len(s.Limits) - 1; i >= 0; i-- {
		if s.Limits[i].Service == service {
			return s.Limits[i], true
		}
	}
	return Limit{}, false
}

// RequestClass returns the class of a request: the class of its service with the longest matching path prefix. Of several
// with the same prefix, the first applies.
func (s *Set) RequestClass(service oleanderline.ServiceID, path string) (Class, bool) {
	var best Class
	found := false
	for _, c := range s.Classes {
		if c.Service != service || c.Service == "" || !strings.HasPrefix(path, c.Path) {
			continue
		}
		if !found || len(c.Path) > len(best.Path) {
			best, found = c, true
		}
	}
	return best, found
}

// JobClass returns the class rule with the name that a job declares. If there are several, the first applies.
func (s *Set) JobClass(name string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Service == "" && c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
