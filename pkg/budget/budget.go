// Package budget limits retries and hedges to a share of the requests, so that they do not amplify an overload.
package budget

// Budget is a token bucket that is refilled by requests instead of time: the fewer requests arrive, the fewer may be sent
// again.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// New returns a Budget that allows share repetitions (retries or hedges) per request, and at most burst of them at once.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// RecordRequest refills the bucket for a new request.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.burst, b.tokens+b.share)
}

// Take takes a token and reports whether there was one, that is, whether a repetition is allowed.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
