package evacuation

import (
	"maps"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Requests follows the operators' stream. It is not safe for concurrent use.
type Requests struct {
	view     *View
	provenAt time.Time
}

// Record is a record of the stream about one domain.
type Record struct {
	Domain  oleanderline.DomainID
	Offset  oleanderline.Offset
	Removed bool // the record takes the request back
}

// Change is a domain whose state has changed.
type Change struct {
	Domain oleanderline.DomainID
	Out    bool // it is out of service from now on, otherwise it is back
}

// View returns the newest list, nil before the first reading.
func (r *Requests) View() *View { return r.view }

// ProvenAt returns the newest time as of which the list is known to be complete; zero before the first reading.
func (r *Requests) ProvenAt() time.Time { return r.provenAt }

// Prove records that the list was complete at a time.
func (r *Requests) Prove(asOf time.Time) {
	if r.view != nil && asOf.After(r.provenAt) {
		r.provenAt = asOf
	}
}

// Replace replaces the list by a complete one, in which a missing domain is in service. A list that ends before the present one is
// ignored. It returns the domains whose state has changed.
func (r *Requests) Replace(s Snapshot, now time.Time) []Change {
	next := &View{out: map[oleanderline.DomainID]oleanderline.Offset{}, next: s.Next}
	maps.Copy(next.out, s.Out)
	if old := r.view; old != nil {
		if s.Next < old.next {
			return nil
		}
		for domain, offset := range old.out { // pages of the newest records may be later than their end
			if offset >= s.Next {
				next.out[domain] = max(offset, next.out[domain])
			}
		}
	}
	return r.set(next, now)
}

// Apply applies the records that follow, up to the offset next. Records that the list reflects already are ignored. It returns the domains
// whose state has changed. It must not be called before Replace.
func (r *Requests) Apply(records []Record, end oleanderline.Offset, now time.Time) []Change {
	old := r.view
	next := &View{out: maps.Clone(old.out), next: max(old.next, end)}
	for _, rec := range records {
		known, out := next.out[rec.Domain]
		switch {
		case rec.Offset < old.next, out && rec.Offset <= known:
		case rec.Removed:
			delete(next.out, rec.Domain)
		default:
			next.out[rec.Domain] = rec.Offset
		}
	}
	return r.set(next, now)
}

// set makes a list the newest one, and returns the domains whose state it changes. A request that was removed and made again in between
// changes nothing.
func (r *Requests) set(next *View, now time.Time) []Change {
	var changes []Change
	next.returned = map[oleanderline.DomainID]time.Time{}
	if old := r.view; old != nil {
		maps.Copy(next.returned, old.returned)
		for domain := range old.out {
			if _, out := next.out[domain]; !out {
				next.returned[domain] = now
				changes = append(changes, Change{Domain: domain})
			}
		}
	}
	for domain := range next.out {
		if r.view == nil || r.view.InService(domain) {
			delete(next.returned, domain)
			changes = append(changes, Change{Domain: domain, Out: true})
		}
	}
	r.view = next
	return changes
}
