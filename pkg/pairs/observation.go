package pairs

// Observation is what one report of a worker shows about its long-running tasks of one image.
type Observation struct {
	Serving Image
	// TargetRatio is the highest ratio of their tail latencies to the target.
	TargetRatio float64
	// ReplicaRatio is the ratio of their tail latency to that of their replicas on other workers at the same time, or 0 if
	// there is none to compare with.
	ReplicaRatio float64
	Steady       []Image // best-effort tasks that ran for the whole period of the report
	Recent       []Image // best-effort tasks that ran for a part of the period, or whose CPU use is not noticeable
}

// model describes how the tail latency ratio of a long-running task depends on a harmful best-effort task beside it. Such a
// task raises the ratio with probability strength. Without one, the ratio is raised or high with a small probability.
type model struct {
	strength                 float64
	normal, raised, high     float64 // the ratio is normal below normal, raised above raised, and high above high
	chanceRaised, chanceHigh float64
}

// model returns the model for the observation, and the ratio to compare with its bounds. Replicas of one job serve the same
// load, so a comparison with them shows interference at any load. Without replicas, interference shows only while the load is
// high enough for the target to be missed.
func (o Observation) model() (m model, ratio float64) {
	if o.ReplicaRatio > 0 {
		return model{strength: 0.8, normal: 1.18, raised: 1.45, high: 2.2, chanceRaised: 0.05, chanceHigh: 0.015}, o.ReplicaRatio
	}
	return model{strength: 0.35, normal: 0.75, raised: 1.15, high: 2, chanceRaised: 0.04, chanceHigh: 0.002}, o.TargetRatio
}
