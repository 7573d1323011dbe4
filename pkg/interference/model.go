// Package interference learns how much batch work slows latency-critical instances down on the same VM, from lagging
// reports, and decides when to throttle or move a batch task. The package has no clock.
package interference

import "math"

// bands is the number of load bands of a VM.
const bands = 3

// Pair names what slows down, what causes it, and how busy the VM is.
type Pair struct {
	Critical string // class of the latency-critical job
	Batch    string // class of the batch job
	Band     int
}

// Band returns the band of a load, the busy share of a VM's processors.
func Band(load float64) int { return min(max(int(load*bands), 0), bands-1) }

// Settings of the learned slowdowns.
const (
	// priorExcess is the slowdown less 1 that is assumed of a pair that was never seen together. It is cautious: two
	// unknown neighbours together come near the bound for throttling.
	priorExcess = 0.2
	learnWeight = 0.2
)

// Model holds the learned slowdowns. It is not safe for concurrent use.
type Model struct {
	excess  map[Pair]float64
	missed  float64 // sum of the absolute errors of the predictions
	reports int
}

// NewModel returns a model that knows only its prior.
func NewModel() *Model { return &Model{excess: map[Pair]float64{}} }

// Excess returns the slowdown less 1 to expect of a pair.
func (m *Model) Excess(p Pair) float64 {
	if known, ok := m.excess[p]; ok {
		return known
	}
	return priorExcess
}

// Predict returns the slowdown to expect with several neighbours, 1 without any.
func (m *Model) Predict(pairs []Pair) float64 {
	sum := 1.0
	for _, p := range pairs {
		sum += m.Excess(p)
	}
	return sum
}

// Learn compares a measured slowdown with the prediction, and corrects every pair by an equal part of the error.
func (m *Model) Learn(pairs []Pair, slow float64) {
	if len(pairs) == 0 || slow < 1 {
		return
	}
	wrong := slow - m.Predict(pairs)
	m.missed += math.Abs(wrong)
	m.reports++
	for _, p := range pairs {
		m.excess[p] = max(0, m.Excess(p)+learnWeight*wrong/float64(len(pairs)))
	}
}

// Accuracy returns the mean absolute error of the predictions, and how many were compared.
func (m *Model) Accuracy() (float64, int) {
	if m.reports == 0 {
		return 0, 0
	}
	return m.missed / float64(m.reports), m.reports
}
