package dispatch

import (
	"time"

	"github.com/oleanderline/oleanderline/pkg/admit"
)

// maxExchanges is the maximum number of concurrent exchanges of one request: the first and a hedge.
const maxExchanges = 2

// request is the state of one request until it is answered, refused or dropped.
type request struct {
	Request
	admit.Item
	service   *service
	class     *admit.Class
	exchanges [maxExchanges]exchange
	inFlight  int       // exchanges in progress
	refusedBy int       // index of the minion that did not run the request, plus 1; zero: none
	notRunAt  time.Time // when the last exchange ended with ResultNotRun; zero after Retry
}

// exchange is one request sent to one slot of a minion.
type exchange struct {
	minion *minion
	slot   int
}

// exchangeOn returns the exchange of the request with a minion, or nil.
func (r *request) exchangeOn(m *minion) *exchange {
	for i := range r.exchanges {
		if r.exchanges[i].minion == m && m != nil {
			return &r.exchanges[i]
		}
	}
	return nil
}

func (c *Core) newRequest(r Request) *request {
	if n := len(c.freeRequests); n > 0 {
		reused := c.freeRequests[n-1]
		c.freeRequests = c.freeRequests[:n-1]
		*reused = request{Request: r}
		return reused
	}
	return &request{Request: r}
}

// maxFreeRequests limits the request records that are kept for reuse.
const maxFreeRequests = 4096

// removeRequest stops tracking a request and keeps its record for reuse.
func (c *Core) removeRequest(r *request) {
	delete(c.requests, r.Request.ID)
	if len(c.freeRequests) < maxFreeRequests {
		c.freeRequests = append(c.freeRequests, r)
	}
}

// removeAbandoned removes requests for which neither Retry nor Cancel was called within RetryTimeout after ResultNotRun.
func (c *Core) removeAbandoned(now time.Time) {
	for _, r := range c.requests {
		if !r.notRunAt.IsZero() && now.Sub(r.notRunAt) > c.settings.RetryTimeout {
			c.removeRequest(r)
		}
	}
}
