// Package balance chooses a minion among those with a free slot: the best of a few random candidates.
package balance

import (
	"math/rand/v2"
)

// Candidate is a minion that a Picker can choose.
type Candidate struct {
	MinionIndex int     // index of the minion in the caller's list
	Load        int     // requests in flight from this entry
	Score       float64 // recent latency relative to the typical run times of the request classes; 1 is typical
	position    int     // index in Picker.available plus 1; zero: not available
}

// Picker holds the available candidates. Adding, removing and picking take constant time, and do not allocate once the
// picker has held all candidates.
type Picker struct {
	rand      *rand.Rand
	choices   int
	available []*Candidate
}

// DefaultChoices is the number of random candidates that are compared. Comparing a few instead of all prevents several
// entries from sending to the same minion at the same time, and makes the cost of a choice independent of the number of
// minions.
const DefaultChoices = 4

// NewPicker returns an empty Picker that compares the given number of random candidates for each choice.
func NewPicker(random *rand.Rand, choices int) *Picker {
	return &Picker{rand: random, choices: choices}
}

// SetAvailable adds a candidate to the available ones or removes it.
func (p *Picker) SetAvailable(c *Candidate, available bool) {
	switch {
	case available && c.position == 0:
		p.available = append(p.available, c)
		c.position = len(p.available)
	case !available && c.position != 0:
		last := p.available[len(p.available)-1]
		p.available[c.position-1] = last
		last.position = c.position
		p.available = p.available[:len(p.available)-1]
		c.position = 0
	}
}

// Len returns the number of available candidates.
func (p *Picker) Len() int { return len(p.available) }

// At returns the i-th available candidate, in no particular order.
func (p *Picker) At(i int) *Candidate { return p.available[i] }

// Pick returns the best of a few random candidates whose MinionIndex is not in avoid, or nil if there is none.
func (p *Picker) Pick(avoid ...int) *Candidate {
	if best := p.pickSampled(avoid); best != nil || len(avoid) == 0 {
		return best
	}
	for _, c := range p.available {
		if !contains(avoid, c.MinionIndex) {
			return c
		}
	}
	return nil
}

// pickSampled returns the candidate with the lowest cost in a random sample, or nil if all of the sample are to be
// avoided. The cost is the expected time to finish the requests in flight and one more.
func (p *Picker) pickSampled(avoid []int) *Candidate {
	var best *Candidate
	var bestCost float64
	for range min(p.choices, len(p.available)) {
		c := p.available[p.rand.IntN(len(p.available))]
		if contains(avoid, c.MinionIndex) {
			continue
		}
		cost := c.Score * (float64(c.Load) + 1)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

func contains(indexes []int, index int) bool {
	for _, i := range indexes {
		if i == index {
			return true
		}
	}
	return false
}
