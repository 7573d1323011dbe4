package entry

import (
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
)

const (
	// hedgeQuantile is the part of the answers that come without a hedge. With the core's budget of 5% this leaves the
	// budget to the requests that are really late.
	hedgeQuantile = 0.95
	firstHedge    = 100 * time.Millisecond
	leastHedge    = 2 * time.Millisecond
	mostHedge     = time.Second
	// hedgeStep is the part by which one answer moves the estimate.
	hedgeStep = 0.02
	// maxDelays bounds the services that are tracked; the VM list has far fewer.
	maxDelays = 1000
)

// delays estimates for each service after which delay a second copy is worth sending.
type delays struct {
	mu       sync.Mutex
	estimate map[oleanderline.ServiceID]time.Duration
}

func newDelays() *delays {
	return &delays{estimate: map[oleanderline.ServiceID]time.Duration{}}
}

// hedge returns the delay after which to send a second copy.
func (d *delays) hedge(service oleanderline.ServiceID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if estimate, ok := d.estimate[service]; ok {
		return min(max(2*estimate, leastHedge), mostHedge)
	}
	return firstHedge
}

// observe moves the estimate of the quantile up by a step for a slower answer, and down by a smaller one for a faster
// answer; the steps balance at the quantile.
func (d *delays) observe(service oleanderline.ServiceID, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate, ok := d.estimate[service]
	switch {
	case !ok && len(d.estimate) >= maxDelays:
		return
	case !ok:
		estimate = firstHedge / 2
	case latency > estimate:
		estimate += time.Duration(hedgeStep * float64(estimate))
	default:
		estimate -= time.Duration(hedgeStep * (1 - hedgeQuantile) / hedgeQuantile * float64(estimate))
	}
	d.estimate[service] = max(estimate, leastHedge/2)
}
