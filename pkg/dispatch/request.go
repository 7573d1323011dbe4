package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/admit"
)

// copies is the greatest number of exchanges of one request at the same time: the first and a hedge.
const copies = 2

// request is the core's record of one request until it ends.
type request struct {
	Request
	admit.Item
	service *service
	class   *admit.Class
	flights [copies]flight
	active  int
	avoid   int       // index of the minion that refused the request plus 1
	parked  time.Time // set after ResultNotRun, until Retry or Cancel
}

// flight is one exchange on one slot of a minion.
type flight struct {
	minion *minion
	slot   int
}

func (r *request) flightAt(m *minion) *flight {
	for i := range r.flights {
		if r.flights[i].minion == m && m != nil {
			return &r.flights[i]
		}
	}
	return nil
}

func (c *Core) newRequest(r Request) *request {
	if n := len(c.unused); n > 0 {
		old := c.unused[n-1]
		c.unused = c.unused[:n-1]
		*old = request{Request: r}
		return old
	}
	return &request{Request: r}
}

// maxUnused bounds the records that are kept for reuse.
const maxUnused = 4096

func (c *Core) forget(r *request) {
	delete(c.requests, r.Request.ID)
	if len(c.unused) < maxUnused {
		c.unused = append(c.unused, r)
	}
}

// forgetParked drops requests whose owner called neither Retry nor Cancel after ResultNotRun.
func (c *Core) forgetParked(now time.Time) {
	for _, r := range c.requests {
		if !r.parked.IsZero() && now.Sub(r.parked) > c.settings.Forget {
			c.forget(r)
		}
	}
}
