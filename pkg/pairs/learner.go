// Package pairs learns which fillers disturb which lasting tasks, by the images that they run. How much two pieces of work
// slow each other depends on the pair, and shows only in the tail latency that lasting tasks report, for all fillers beside
// them together.
package pairs

import "math"

const (
	// prior is how likely an unknown pair is to be harmful.
	prior = 0.2
	// floor keeps a pair open to later evidence.
	floor = 0.005
	// precision rounds stored probabilities.
	precision = 1000
	// harmful is the probability from which a pair is kept apart.
	harmful = 0.4
)

// Image names what a task runs.
type Image string

type pair struct{ serving, filler Image }

// Evidence is what is known about one pair, as it is stored for the next leader.
type Evidence struct {
	Serving Image   `json:"s"`
	Filler  Image   `json:"f"`
	Harm    float64 `json:"p"` // probability that the filler disturbs
}

// Learner is the evidence of one leader. Its zero value is not usable; use New.
type Learner struct {
	harm    map[pair]float64
	changed bool
}

// New returns a learner without evidence.
func New() *Learner { return &Learner{harm: map[pair]float64{}} }

// Restore takes over the evidence of an earlier leader.
func (l *Learner) Restore(evidence []Evidence) {
	for _, e := range evidence {
		l.set(e.Serving, e.Filler, e.Harm)
	}
	l.changed = false
}

// Changes returns all evidence if any of it has changed since the last call.
func (l *Learner) Changes() ([]Evidence, bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	evidence := make([]Evidence, 0, len(l.harm))
	for key, harm := range l.harm {
		evidence = append(evidence, Evidence{Serving: key.serving, Filler: key.filler, Harm: math.Round(harm*precision) / precision})
	}
	return evidence, true
}

// Observe takes in what a report shows. Each image counts once.
func (l *Learner) Observe(look Observation) {
	m, tail := look.model()
	switch {
	case tail < m.calm:
		for _, filler := range distinct(look.Steady) {
			p := l.HarmProbability(look.Serving, filler)
			l.set(look.Serving, filler, p*(1-m.strength)/(1-p*m.strength))
		}
	case tail > m.grave:
		l.blame(look, m.strength, m.chanceGrave)
	case tail > m.raised:
		l.blame(look, m.strength, m.chanceRaised)
	}
}

// blame raises the probability of each filler by Bayes' rule, given that at least one of them or chance raised a tail. One
// harmful filler explains a tail, so together they rise to one at most: otherwise fillers that are often seen together
// would convict one another.
func (l *Learner) blame(look Observation, strength, chance float64) {
	fillers := distinct(append(look.Steady, look.Recent...))
	calmAll := 1 - chance
	for _, filler := range fillers {
		calmAll *= 1 - l.HarmProbability(look.Serving, filler)*strength
	}
	before := make([]float64, len(fillers))
	after := make([]float64, len(fillers))
	sumBefore, sumAfter := 0.0, 0.0
	for i, filler := range fillers {
		before[i] = l.HarmProbability(look.Serving, filler)
		calmIfHarmful := calmAll / (1 - before[i]*strength) * (1 - strength)
		after[i] = before[i] * (1 - calmIfHarmful) / (1 - calmAll)
		sumBefore += before[i]
		sumAfter += after[i]
	}
	scale := min(1, max(1, sumBefore)/sumAfter)
	for i, filler := range fillers {
		l.set(look.Serving, filler, max(before[i], after[i]*scale))
	}
}

func (l *Learner) set(serving, filler Image, p float64) {
	l.harm[pair{serving, filler}] = min(max(p, floor), 1-floor)
	l.changed = true
}

func distinct(images []Image) []Image {
	var result []Image
	seen := map[Image]bool{}
	for _, image := range images {
		if !seen[image] {
			seen[image] = true
			result = append(result, image)
		}
	}
	return result
}

// HarmProbability returns how likely a filler is to disturb a lasting task, from 0 to 1.
func (l *Learner) HarmProbability(serving, filler Image) float64 {
	if p, ok := l.harm[pair{serving, filler}]; ok {
		return p
	}
	return prior
}

// Harmful reports whether a pair has to be kept apart.
func (l *Learner) Harmful(serving, filler Image) bool {
	return l.HarmProbability(serving, filler) >= harmful
}
