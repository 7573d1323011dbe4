package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

// workload describes the arrivals of calls. The same seed gives the same calls for every policy.
type workload struct {
	seed             uint64
	minions, entries int
	duration         time.Duration
	load             func(at time.Duration) float64 // offered work as a share of the slots' capacity
	timeout          time.Duration
	long             float64 // share of the work in long calls, which no rule declares
	longOnly         bool    // omits the short calls
	shortOnly        bool    // omits the long calls
}

const (
	medianRun       = 15 * time.Millisecond // median run time of a short call that is not a straggler
	logDeviation    = 1.0                   // standard deviation of the logarithm of the run time
	stragglerShare  = 0.02
	stragglerFactor = 20
	longFactor      = 20 // run time of a long call relative to a short one
)

// meanRun is the mean run time of short calls, stragglers included.
var meanRun = time.Duration(float64(medianRun) * math.Exp(logDeviation*logDeviation/2) * (1 + stragglerShare*(stragglerFactor-1)))

// calls generates the calls of the workload in order of arrival.
func (w workload) calls() []call {
	random, hedgeRandom := rand.New(rand.NewPCG(11+w.seed, 13)), rand.New(rand.NewPCG(17, 19))
	capacity := float64(w.minions*8) / meanRun.Seconds()
	var calls []call
	for at := time.Duration(0); at < w.duration; {
		rate := capacity * w.load(at)
		shortRate, longRate := rate*(1-w.long), rate*w.long/longFactor
		at += time.Duration(random.ExpFloat64() / (shortRate + longRate) * float64(time.Second))
		c := call{arrivesAt: at, entry: random.IntN(w.entries), timeout: w.timeout, class: "short"}
		c.runTime, c.hedgeRun = sampleRun(random), sampleRun(hedgeRandom)
		if random.Float64() < longRate/(shortRate+longRate) {
			c.class = "long"
			c.runTime *= longFactor
			c.hedgeRun *= longFactor
		}
		if (w.shortOnly && c.class == "long") || (w.longOnly && c.class == "short") {
			continue
		}
		calls = append(calls, c)
	}
	return calls
}

// sampleRun draws the run time of a short call.
func sampleRun(random *rand.Rand) time.Duration {
	run := time.Duration(float64(medianRun) * math.Exp(logDeviation*random.NormFloat64()))
	if random.Float64() < stragglerShare {
		run *= stragglerFactor
	}
	return run
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}
