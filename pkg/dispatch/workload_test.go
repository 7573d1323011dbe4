package dispatch

import (
	"math"
	"math/rand/v2"
	"time"
)

// workload describes arrivals. The same seed gives the same calls for every policy.
type workload struct {
	seed             uint64
	minions, entries int
	length           time.Duration
	load             func(at time.Duration) float64 // part of the slots that the offered work needs
	limit            time.Duration
	long             float64 // part of the work that comes from long calls, which are not declared
	longOnly         bool    // leaves the short calls out
	shortOnly        bool    // leaves the long calls out
}

const (
	typicalRun = 15 * time.Millisecond // median of a short call that is no straggler
	spread     = 1.0                   // of the logarithm of the run time
	stragglers = 0.02
	straggles  = 20
	longRun    = 20 // a long call runs so many times longer than a short one
)

// meanRun is the mean run time of short calls, stragglers included.
var meanRun = time.Duration(float64(typicalRun) * math.Exp(spread*spread/2) * (1 + stragglers*(straggles-1)))

func (l workload) calls() []call {
	random, second := rand.New(rand.NewPCG(11+l.seed, 13)), rand.New(rand.NewPCG(17, 19))
	capacity := float64(l.minions*8) / meanRun.Seconds()
	var calls []call
	for at := time.Duration(0); at < l.length; {
		rate := capacity * l.load(at)
		shortRate, longRate := rate*(1-l.long), rate*l.long/longRun
		at += time.Duration(random.ExpFloat64() / (shortRate + longRate) * float64(time.Second))
		c := call{at: at, entry: random.IntN(l.entries), limit: l.limit, class: "short"}
		c.run, c.again = drawRun(random), drawRun(second)
		if random.Float64() < longRate/(shortRate+longRate) {
			c.class = "long"
			c.run *= longRun
			c.again *= longRun
		}
		if (l.shortOnly && c.class == "long") || (l.longOnly && c.class == "short") {
			continue
		}
		calls = append(calls, c)
	}
	return calls
}

func drawRun(random *rand.Rand) time.Duration {
	run := time.Duration(float64(typicalRun) * math.Exp(spread*random.NormFloat64()))
	if random.Float64() < stragglers {
		run *= straggles
	}
	return run
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}
