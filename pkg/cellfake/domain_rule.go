package cellfake

import (
	"time"

	"github.com/oleanderline/oleanderline"
)

// evacuationLimit is how long after the acknowledgement of a request to evacuate a failure domain a start there may still be ordered.
const evacuationLimit = 5 * time.Second

// domainRule holds what the rule EVAC needs: the failure domains of workers, and since when operators have had domains out of service.
type domainRule struct {
	of  map[oleanderline.WorkerID]oleanderline.DomainID
	out map[oleanderline.DomainID]time.Time
	// untouchedUntil is until when no process can learn of a request.
	untouchedUntil time.Time
	starts         map[oleanderline.DomainID]int // number of starts
}

func newDomainRule() domainRule {
	return domainRule{
		of: map[oleanderline.WorkerID]oleanderline.DomainID{}, out: map[oleanderline.DomainID]time.Time{}, starts: map[oleanderline.DomainID]int{},
	}
}

// SetDomain records the failure domain of a worker.
func (c *Checker) SetDomain(worker oleanderline.WorkerID, domain oleanderline.DomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains.of[worker] = domain
}

// Evacuated records that the store has acknowledged the request to evacuate a failure domain.
func (c *Checker) Evacuated(domain oleanderline.DomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, out := c.domains.out[domain]; !out {
		c.domains.out[domain] = time.Now()
	}
}

// TakenBack records that the request for a failure domain is about to be removed.
func (c *Checker) TakenBack(domain oleanderline.DomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.domains.out, domain)
}

// NoneInTouch records that the store serves no process until the given time, so that none can learn of a request.
func (c *Checker) NoneInTouch(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.domains.untouchedUntil) {
		c.domains.untouchedUntil = until
	}
}

// StartsIn returns the number of starts in a failure domain.
func (c *Checker) StartsIn(domain oleanderline.DomainID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domains.starts[domain]
}

// checkDomain checks a start against the requests to evacuate failure domains. If the order was carried out late, the time at which it
// was sent is checked. The caller must hold c.mu.
func (c *Checker) checkDomain(worker oleanderline.WorkerID, key oleanderline.RunKey, sentAt time.Time) {
	domain := c.domains.of[worker]
	c.domains.starts[domain]++
	since, out := c.domains.out[domain]
	if !out {
		return
	}
	orderTime := time.Now()
	if time.Since(sentAt) >= lateOrderDelay {
		orderTime = sentAt
	}
	inTouch := orderTime.After(c.disturbedUntil.Add(contactTime)) && orderTime.After(c.domains.untouchedUntil.Add(contactTime))
	if after := orderTime.Sub(since); after > evacuationLimit && inTouch {
		c.violation("EVAC: %s run %d is started on %s, %s after its failure domain %s was taken out of service", key.Task, key.Run, worker, after, domain)
	}
}
