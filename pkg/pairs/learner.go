// Package pairs learns which best-effort tasks interfere with which long-running tasks, by their images. A best-effort task
// uses CPU time that other tasks leave unused. Whether it raises the tail latency of a long-running task depends on the pair
// of images. Workers report only the tail latency, which shows the joint effect of all best-effort tasks beside the task.
package pairs

import "math"

const (
	// priorHarm is the probability of harm of an unknown pair.
	priorHarm = 0.2
	// minHarm is the lowest probability of harm, and its distance to 1 the highest, so that later observations can still
	// change it.
	minHarm = 0.005
	// storedPrecision is the inverse of the step to which stored probabilities are rounded.
	storedPrecision = 1000
	// harmfulThreshold is the probability of harm from which a pair is not placed on the same worker.
	harmfulThreshold = 0.4
)

// Image is the name of the software image that a task runs.
type Image string

type pair struct{ serving, bestEffort Image }

// Evidence is the stored probability of harm of one pair, from which the next leader continues to learn.
type Evidence struct {
	Serving    Image   `json:"s"`
	BestEffort Image   `json:"f"`
	Harm       float64 `json:"p"` // probability that the best-effort task raises the tail latency
}

// Learner estimates the probability of harm of each pair. Its zero value is not usable; use New.
type Learner struct {
	harm    map[pair]float64
	changed bool
}

// New returns a learner without observations.
func New() *Learner { return &Learner{harm: map[pair]float64{}} }

// Restore adds the evidence that an earlier leader has stored.
func (l *Learner) Restore(evidence []Evidence) {
	for _, e := range evidence {
		l.set(e.Serving, e.BestEffort, e.Harm)
	}
	l.changed = false
}

// Changes returns the evidence about all pairs, and whether any of it has changed since the last call. It returns none if
// nothing has changed.
func (l *Learner) Changes() ([]Evidence, bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	evidence := make([]Evidence, 0, len(l.harm))
	for key, harm := range l.harm {
		evidence = append(evidence, Evidence{Serving: key.serving, BestEffort: key.bestEffort, Harm: math.Round(harm*storedPrecision) / storedPrecision})
	}
	return evidence, true
}

// Observe updates the probabilities of harm from an observation. Several best-effort tasks of the same image count as one.
func (l *Learner) Observe(observation Observation) {
	m, ratio := observation.model()
	switch {
	case ratio < m.normal:
		for _, image := range distinct(observation.Steady) {
			p := l.HarmProbability(observation.Serving, image)
			l.set(observation.Serving, image, p*(1-m.strength)/(1-p*m.strength))
		}
	case ratio > m.high:
		l.raiseHarm(observation, m.strength, m.chanceHigh)
	case ratio > m.raised:
		l.raiseHarm(observation, m.strength, m.chanceRaised)
	}
}

// raiseHarm raises the probability of each best-effort task by Bayes' rule, given that one of the best-effort tasks or chance
// has raised the tail latency. A single harmful best-effort task explains a raised tail latency, so the sum of the
// probabilities is raised to 1 at most. Without this limit, best-effort tasks that often run together would all count as
// harmful.
func (l *Learner) raiseHarm(observation Observation, strength, chance float64) {
	images := distinct(append(observation.Steady, observation.Recent...))
	normalProbability := 1 - chance
	for _, image := range images {
		normalProbability *= 1 - l.HarmProbability(observation.Serving, image)*strength
	}
	before := make([]float64, len(images))
	after := make([]float64, len(images))
	sumBefore, sumAfter := 0.0, 0.0
	for i, image := range images {
		before[i] = l.HarmProbability(observation.Serving, image)
		normalIfHarmful := normalProbability / (1 - before[i]*strength) * (1 - strength)
		after[i] = before[i] * (1 - normalIfHarmful) / (1 - normalProbability)
		sumBefore += before[i]
		sumAfter += after[i]
	}
	scale := min(1, max(1, sumBefore)/sumAfter)
	for i, image := range images {
		l.set(observation.Serving, image, max(before[i], after[i]*scale))
	}
}

func (l *Learner) set(serving, bestEffort Image, p float64) {
	l.harm[pair{serving, bestEffort}] = min(max(p, minHarm), 1-minHarm)
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

// HarmProbability returns the probability from 0 to 1 that a best-effort task raises the tail latency of a long-running task.
func (l *Learner) HarmProbability(serving, bestEffort Image) float64 {
	if p, ok := l.harm[pair{serving, bestEffort}]; ok {
		return p
	}
	return priorHarm
}

// Harmful reports whether the probability of harm is so high that the pair should not run on the same worker.
func (l *Learner) Harmful(serving, bestEffort Image) bool {
	return l.HarmProbability(serving, bestEffort) >= harmfulThreshold
}
