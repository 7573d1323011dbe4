// Package budget bounds retries and hedges to a share of the requests, so that they never multiply an overload.
package budget

// Budget is a token bucket that is filled by requests instead of time: the less work succeeds in being sent, the less may
// be repeated.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// New returns a budget that allows share repetitions for each request, and at most burst at once.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Request records a first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take reports whether a repetition is allowed, and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
