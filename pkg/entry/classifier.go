package entry

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// classifier finds the class rule of a request. Lookups take no lock.
type classifier struct {
	classes atomic.Pointer[map[oleanderline.ServiceID][]rules.Class]
}

func newClassifier() *classifier {
	c := &classifier{}
	c.set(&rules.Set{})
	return c
}

// set replaces the rules.
func (c *classifier) set(set *rules.Set) {
	byService := map[oleanderline.ServiceID][]rules.Class{}
	for _, class := range set.Classes {
		if class.Service != "" {
			byService[class.Service] = append(byService[class.Service], class)
		}
	}
	for _, classes := range byService {
		// The longest prefix wins; among equals the first in the file.
		slices.SortStableFunc(classes, func(a, b rules.Class) int { return len(b.Path) - len(a.Path) })
	}
	c.classes.Store(&byService)
}

// find returns the rule for a path of a service, or nil.
func (c *classifier) find(service oleanderline.ServiceID, path string) *rules.Class {
	classes := (*c.classes.Load())[service]
	for i := range classes {
		if strings.HasPrefix(path, classes[i].Path) {
			return &classes[i]
		}
	}
	return nil
}

// group names requests that probably run alike: the method and the first element of the path.
func group(method, path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return method + " /" + first
}
