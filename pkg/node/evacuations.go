package node

import (
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/follow"
)

// evacuations holds the requests of operators to take failure domains out of service. It is safe for concurrent use.
type evacuations struct {
	common   *common.Common
	mu       sync.Mutex
	requests evacuation.Requests
	view     atomic.Pointer[evacuation.View]
	relayed  bool // the list is from a peer
}

// current returns the newest list; nil if there is none.
func (e *evacuations) current() *evacuation.View { return e.view.Load() }

// inService reports whether tasks may start in a failure domain.
func (e *evacuations) inService(domain oleanderline.DomainID) bool {
	return e.current().InService(domain)
}

// age returns how long ago the list was complete, and whether there is one.
func (e *evacuations) age(now time.Time) (age time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.requests.ProvenAt()), e.requests.View() != nil
}

// update changes the list, which was complete at asOf unless that is zero, and logs the changes.
func (e *evacuations) update(asOf time.Time, relayed bool, change func(r *evacuation.Requests) []evacuation.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := change(&e.requests)
	e.requests.Prove(asOf)
	e.view.Store(e.requests.View())
	if relayed && !e.relayed {
		e.common.Event(common.EventEvacuationsRelayed).Warn("evacuation requests are read through a peer")
	}
	e.relayed = relayed
	for _, c := range changes {
		if c.Out {
			e.common.Metrics.GetOrCreateGauge(domainMetric(c.Domain), func() float64 { return 1 })
			e.common.Event(common.EventDomainOut).WithField("domain", c.Domain).Info("failure domain is out of service: nothing starts there")
		} else {
			e.common.Metrics.UnregisterMetric(domainMetric(c.Domain))
			e.common.Event(common.EventDomainBack).WithField("domain", c.Domain).Info("failure domain is back in service")
		}
	}
}

// unsafeInMetrics matches what is replaced in a metric: the name of a domain is whatever operators have written, and a space in it makes
// the page unreadable.
var unsafeInMetrics = regexp.MustCompile(`[^A-Za-z0-9_.-]`)

// domainMetric returns the name of a gauge that exists while a failure domain is out of service.
func domainMetric(domain oleanderline.DomainID) string {
	return fmt.Sprintf("oleander_cell_domain_out{domain=%q}", unsafeInMetrics.ReplaceAllString(string(domain), "_"))
}

// applyEvacuations applies the evacuation requests among the records of a read of the operators' stream that began at begun.
func (n *Node) applyEvacuations(follower *follow.Follower, records []oleanderline.KeyedRecord, snapshot bool, begun time.Time) {
	now := n.common.Clock.Now()
	end, atEnd := follower.Position()
	asOf := time.Time{}
	if atEnd {
		asOf = begun
		if waited := begun.Add(maxReadWait); !snapshot && len(records) == 0 && !now.Before(waited) {
			asOf = waited // the log answers without a record only after the wait
		}
	}
	decoded := n.decodeEvacuations(records)
	n.evacuations.update(asOf, false, func(r *evacuation.Requests) []evacuation.Change {
		if !snapshot {
			return r.Apply(decoded, end, now)
		}
		s := evacuation.Snapshot{Out: map[oleanderline.DomainID]oleanderline.Offset{}, Next: end}
		for _, rec := range decoded {
			s.Out[rec.Domain] = rec.Offset
		}
		return r.Replace(s, now)
	})
}

// decodeEvacuations returns the evacuation requests, and their removals, among records.
func (n *Node) decodeEvacuations(records []oleanderline.KeyedRecord) []evacuation.Record {
	var decoded []evacuation.Record
	for _, rec := range records {
		if n.ports.IsEvacuation == nil || !n.ports.IsEvacuation(rec.Key) {
			continue
		}
		domain, err := n.ports.DecodeEvacuation(rec)
		if err != nil {
			n.common.Event(common.EventEvacuationMalformed).WithField("offset", rec.Offset).WithField("domain", domain).WithError(err).
				Warn("malformed evacuation request")
		}
		if domain != "" {
			decoded = append(decoded, evacuation.Record{Domain: domain, Offset: rec.Offset, Removed: len(rec.Value) == 0})
		}
	}
	return decoded
}

// watchEvacuations asks peers for the evacuation requests while this process cannot read them itself. The log may refuse this process
// and acknowledge a request of the operators, while workers carry out this process's orders.
func (n *Node) watchEvacuations() {
	for n.ctx.Err() == nil {
		n.sleep(evacuationsPoll)
		asked := n.common.Clock.Now()
		if age, known := n.evacuations.age(asked); known && age <= evacuationsAge {
			continue
		}
		requests, age, err := n.ports.PeerEvacuations(n.ctx, evacuationsAge)
		if err != nil {
			continue
		}
		n.evacuations.update(asked.Add(-age), true, func(r *evacuation.Requests) []evacuation.Change {
			return r.Replace(requests, n.common.Clock.Now())
		})
	}
}

// EvacuationsHere implements relay.Backend.
func (n *Node) EvacuationsHere() (evacuation.Snapshot, time.Duration, error) {
	age, known := n.evacuations.age(n.common.Clock.Now())
	if !known {
		return evacuation.Snapshot{}, 0, oleanderline.ErrNotReady
	}
	return n.evacuations.current().Snapshot(), age, nil
}
