// Package pairs learns which fillers disturb which lasting tasks, by the images that they run. How much two pieces of work
// slow each other depends on the pair, and shows only in the tail latency that lasting tasks report, for all fillers beside
// them together.
package pairs

// Weights of evidence.
const (
	// priorBad and priorAll give a pair that was never seen a moderate suspicion.
	priorBad = 0.1
	priorAll = 1.0
	// goodBelow is the ratio of tail to target below which no filler disturbs; between it and badAbove the load of the
	// task itself may be the cause.
	goodBelow = 0.75
	badAbove  = 1.15
	// gravely is the ratio that the load of a task itself does not reach, and counts for more.
	gravely       = 2.0
	gravelyWeight = 3.0
	// harmful is the suspicion from which a pair is kept apart, and evidence how much of it has to be seen.
	harmful  = 0.12
	evidence = 1.0
)

// Image names what a task runs.
type Image string

type pair struct{ serving, filler Image }

type counts struct{ bad, good float64 }

func (c counts) suspicion() float64 { return (c.bad + priorBad) / (c.bad + c.good + priorAll) }

// Learner is the evidence of one leader. Its zero value is not usable; use New.
type Learner struct{ seen map[pair]*counts }

// New returns a learner without evidence.
func New() *Learner { return &Learner{seen: map[pair]*counts{}} }

// Observe takes in the ratio of the tail latency of a lasting task to its target while fillers worked beside it. Blame for
// a high tail goes to the fillers by how suspicious they already are, so that those that are often seen beside healthy
// tasks get little of it.
func (l *Learner) Observe(serving Image, ratio float64, fillers []Image) {
	switch {
	case ratio < goodBelow:
		for _, filler := range fillers {
			l.at(serving, filler).good++
		}
	case ratio > badAbove:
		weight := 1.0
		if ratio > gravely {
			weight = gravelyWeight
		}
		l.blame(serving, fillers, weight)
	}
}

func (l *Learner) blame(serving Image, fillers []Image, weight float64) {
	total := 0.0
	for _, filler := range fillers {
		total += l.Suspicion(serving, filler)
	}
	shares := make([]float64, len(fillers))
	for i, filler := range fillers {
		shares[i] = weight * l.Suspicion(serving, filler) / total
	}
	for i, filler := range fillers {
		l.at(serving, filler).bad += shares[i]
	}
}

func (l *Learner) at(serving, filler Image) *counts {
	key := pair{serving, filler}
	c := l.seen[key]
	if c == nil {
		c = &counts{}
		l.seen[key] = c
	}
	return c
}

// Suspicion returns how likely a filler is to disturb a lasting task, from 0 to 1.
func (l *Learner) Suspicion(serving, filler Image) float64 {
	c := l.seen[pair{serving, filler}]
	if c == nil {
		return priorBad / priorAll
	}
	return c.suspicion()
}

// Harmful reports whether the evidence is enough to keep a pair apart.
func (l *Learner) Harmful(serving, filler Image) bool {
	c := l.seen[pair{serving, filler}]
	return c != nil && c.bad >= evidence && c.suspicion() >= harmful
}
