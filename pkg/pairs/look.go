package pairs

// Observation is what one report of a worker shows about its lasting tasks of one image.
type Observation struct {
	Serving Image
	// TargetRatio is their highest tail latency as a share of its target.
	TargetRatio float64
	// ReplicaRatio is their tail latency as a multiple of that of their replicas on other workers at the same time. 0 means that
	// there are none to compare with.
	ReplicaRatio float64
	Steady       []Image // fillers that worked all the while
	Recent       []Image // fillers that worked for a part of it
}

// model tells how the tail latency of a lasting task depends on a harmful filler beside it, which raises it with probability
// strength. Without one it is raised or grave by a small chance.
type model struct {
	strength                  float64
	calm, raised, grave       float64 // bounds of the tail latency, as a share of what it is compared with
	chanceRaised, chanceGrave float64
}

// model returns how to read the look. Replicas of one job carry the same load, so a comparison with them shows harm at any
// load; without replicas harm shows only while the load is high enough for the target to be missed.
func (l Observation) model() (m model, tail float64) {
	if l.ReplicaRatio > 0 {
		return model{strength: 0.8, calm: 1.18, raised: 1.45, grave: 2.2, chanceRaised: 0.05, chanceGrave: 0.015}, l.ReplicaRatio
	}
	return model{strength: 0.35, calm: 0.75, raised: 1.15, grave: 2, chanceRaised: 0.04, chanceGrave: 0.002}, l.TargetRatio
}
