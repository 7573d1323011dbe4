// Package interference learns from lagging reports how much batch tasks slow down latency-critical instances on the same VM,
// and decides when to throttle or evict a batch task. It reads no clock.
package interference

import "math"

// bands is the number of load bands of a VM.
const bands = 3

// Pair identifies a kind of interference: the class that is slowed down, the class that causes it, and the load of the VM.
type Pair struct {
	Critical string // class of the latency-critical job
	Batch    string // class of the batch job
	Band     int    // load band of the VM
}

// Band returns the band of a load, which is the busy share of a VM's CPU.
func Band(load float64) int { return min(max(int(load*bands), 0), bands-1) }

// Settings of the learned slowdowns.
const (
	// priorExcess is the excess of a pair without measurements. It is cautious: two unknown neighbours together come near
	// the slowdown from which a task is throttled.
	priorExcess = 0.2
	// learnWeight is the share of a prediction's error by which the pairs are corrected.
	learnWeight = 0.2
)

// Model predicts slowdowns from learned measurements. It is not safe for concurrent use.
type Model struct {
	excess       map[Pair]float64
	errorSum     float64 // sum of the absolute errors of the predictions
	measurements int     // number of measurements
}

// NewModel returns a model without measurements.
func NewModel() *Model { return &Model{excess: map[Pair]float64{}} }

// Excess returns the expected excess of a pair, which is its slowdown minus 1.
func (m *Model) Excess(p Pair) float64 {
	if known, ok := m.excess[p]; ok {
		return known
	}
	return priorExcess
}

// Predict returns the expected slowdown of an instance beside several batch tasks, or 1 beside none.
func (m *Model) Predict(pairs []Pair) float64 {
	sum := 1.0
	for _, p := range pairs {
		sum += m.Excess(p)
	}
	return sum
}

// Learn compares a measured slowdown with the prediction, and corrects all pairs by equal parts of the error. It ignores
// measurements without batch tasks and slowdowns below 1.
func (m *Model) Learn(pairs []Pair, slowdown float64) {
	if len(pairs) == 0 || slowdown < 1 {
		return
	}
	predictionError := slowdown - m.Predict(pairs)
	m.errorSum += math.Abs(predictionError)
	m.measurements++
	for _, p := range pairs {
		m.excess[p] = max(0, m.Excess(p)+learnWeight*predictionError/float64(len(pairs)))
	}
}

// Accuracy returns the mean absolute error of the predictions, and the number of measurements compared.
func (m *Model) Accuracy() (float64, int) {
	if m.measurements == 0 {
		return 0, 0
	}
	return m.errorSum / float64(m.measurements), m.measurements
}
