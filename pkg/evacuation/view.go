// Package evacuation keeps the requests of operators to take failure domains out of service, as read from their stream, and finds the
// tasks that wait for such domains. It does no I/O and reads no clock.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// View is the list of requests as of one reading. It does not change. The nil View is that of a process that has read nothing: all
// domains count as out of service.
type View struct {
	out      map[oleanderline.DomainID]oleanderline.Offset // of the newest record that requests it
	returned map[oleanderline.DomainID]time.Time
	next     oleanderline.Offset // the list reflects all records before it
}

// InService reports whether tasks may start in a domain.
func (v *View) InService(domain oleanderline.DomainID) bool {
	if v == nil {
		return false
	}
	_, out := v.out[domain]
	return !out
}

// Domains returns the domains that are out of service, sorted.
func (v *View) Domains() []oleanderline.DomainID {
	if v == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(v.out))
}

// ReturnedAt returns when this process has learned that a domain is back in service; zero if it has not.
func (v *View) ReturnedAt(domain oleanderline.DomainID) time.Time {
	if v == nil {
		return time.Time{}
	}
	return v.returned[domain]
}

// Snapshot returns the list in a form that can be sent to another process.
func (v *View) Snapshot() Snapshot {
	if v == nil {
		return Snapshot{}
	}
	return Snapshot{Out: v.out, Next: v.next}
}

// Snapshot is a complete list of requests: it reflects all records of the stream before Next, and possibly some later ones.
type Snapshot struct {
	Out  map[oleanderline.DomainID]oleanderline.Offset // of the newest record that requests it
	Next oleanderline.Offset
}
