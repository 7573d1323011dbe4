// Package balance chooses a minion among those with a free slot.
package balance

import (
	"math/rand/v2"
)

// Candidate is one minion in the eyes of a Picker.
type Candidate struct {
	Owner int     // index of the minion at the caller
	Load  int     // requests in flight from this entry
	Score float64 // recent latency relative to the usual latency of the same classes; 1 is usual
	index int     // position in the picker plus 1; zero if the candidate cannot be picked
}

// Picker holds the candidates that can be picked. Adding, removing and picking take constant time and allocate nothing
// once the picker has held all candidates.
type Picker struct {
	rand    *rand.Rand
	choices int
	open    []*Candidate
}

// DefaultChoices is the number of random candidates that are compared. Comparing a few instead of all prevents entries
// from sending to the same minion at the same moment, and keeps the time of a choice independent of the minion count.
const DefaultChoices = 4

// NewPicker returns an empty picker that compares a number of random candidates for each choice.
func NewPicker(random *rand.Rand, choices int) *Picker {
	return &Picker{rand: random, choices: choices}
}

// Set makes a candidate available for picks or not.
func (p *Picker) Set(c *Candidate, available bool) {
	switch {
	case available && c.index == 0:
		p.open = append(p.open, c)
		c.index = len(p.open)
	case !available && c.index != 0:
		last := p.open[len(p.open)-1]
		p.open[c.index-1] = last
		last.index = c.index
		p.open = p.open[:len(p.open)-1]
		c.index = 0
	}
}

// Len returns the number of candidates that can be picked.
func (p *Picker) Len() int { return len(p.open) }

// At returns one of the candidates that can be picked.
func (p *Picker) At(i int) *Candidate { return p.open[i] }

// Pick returns the best of a few random candidates, or nil. It avoids the owners in avoid, if that leaves any.
func (p *Picker) Pick(avoid ...int) *Candidate {
	if best := p.sample(avoid); best != nil || len(avoid) == 0 {
		return best
	}
	for _, c := range p.open {
		if !contains(avoid, c.Owner) {
			return c
		}
	}
	return nil
}

func (p *Picker) sample(avoid []int) *Candidate {
	var best *Candidate
	var bestCost float64
	for range min(p.choices, len(p.open)) {
		c := p.open[p.rand.IntN(len(p.open))]
		if contains(avoid, c.Owner) {
			continue
		}
		cost := c.Score * (float64(c.Load) + 1)
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

func contains(owners []int, owner int) bool {
	for _, o := range owners {
		if o == owner {
			return true
		}
	}
	return false
}
