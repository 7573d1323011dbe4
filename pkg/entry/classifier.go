package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// classifier finds the class rule that applies to a request. Lookups are lock-free.
type classifier struct {
	classes atomic.Pointer[map[oleanderline.ServiceID][]rules.Class]
}

func newClassifier() *classifier {
	c := &classifier{}
	c.setRules(&rules.Set{})
	return c
}

// setRules replaces the class rules.
func (c *classifier) setRules(set *rules.Set) {
	byService := map[oleanderline.ServiceID][]rules.Class{}
	for _, class := range set.Classes {
		if class.Service != "" {
			byService[class.Service] = append(byService[class.Service], class)
		}
	}
	for _, classes := range byService {
		// The longest prefix wins; among prefixes of equal length, the first in the rules file.
		slices.SortStableFunc(classes, func(a, b rules.Class) int { return len(b.Path) - len(a.Path) })
	}
	c.classes.Store(&byService)
}

// find returns the class rule for a path of a service, or nil if none matches.
func (c *classifier) find(service oleanderline.ServiceID, path string) *rules.Class {
	classes := (*c.classes.Load())[service]
	for i := range classes {
		if strings.HasPrefix(path, classes[i].Path) {
			return &classes[i]
		}
	}
	return nil
}

// requestGroup returns the group of a request without a class rule: its method and the first element of its path.
// Requests of one group are expected to have similar latencies.
func requestGroup(method, path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return method + " /" + first
}
