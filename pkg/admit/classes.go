package admit

import (
	"math"
	"time"
)

// Class holds run time statistics of one kind of request.
type Class struct {
	samples     int
	mean        float64 // moving average in seconds
	logMean     float64 // moving average of the logarithm, on which stragglers have little influence
	logVariance float64 // moving variance of the logarithm
	long        bool
}

// Classes records the run times of one service by class, and classifies those classes as long or short for which no rule
// does.
type Classes struct {
	overall Class
	classes map[string]*Class
	initial time.Duration
}

const (
	// maxClasses limits the memory if callers send arbitrary class names; further classes share one entry.
	maxClasses = 256
	// minSamples is the number of samples from which the statistics of a class are used.
	minSamples = 16
	// minWeight is the weight of a sample in the moving averages. They cover about the last 500 run times, which is
	// enough for heavy-tailed distributions.
	minWeight = 1.0 / 500
	// A class becomes long if its typical run time is above 4 times that of all requests, and short again at 2.5 times or
	// less. The gap prevents it from alternating.
	longRatio  = 4
	shortRatio = 2.5
)

// NewClasses returns a table without classes; initial is the expected run time before any is measured.
func NewClasses(initial time.Duration) *Classes {
	return &Classes{classes: map[string]*Class{}, initial: initial}
}

// Get returns the class with a name and creates it if necessary.
func (c *Classes) Get(name string) *Class {
	class, ok := c.classes[name]
	if ok {
		return class
	}
	if len(c.classes) >= maxClasses {
		name = ""
		if class, ok = c.classes[name]; ok {
			return class
		}
	}
	class = &Class{}
	c.classes[name] = class
	return class
}

// Observe records a run time of a class.
func (c *Classes) Observe(class *Class, runTime time.Duration) {
	seconds := max(runTime.Seconds(), 1e-6)
	c.overall.observe(seconds)
	class.observe(seconds)
	if class.samples < minSamples {
		return
	}
	ratio := math.Exp(class.logMean - c.overall.logMean)
	if class.long {
		class.long = ratio > shortRatio
	} else {
		class.long = ratio > longRatio
	}
}

func (c *Class) observe(seconds float64) {
	c.samples++
	weight := max(minWeight, 1/float64(c.samples))
	c.mean += weight * (seconds - c.mean)
	deviation := math.Log(seconds) - c.logMean
	c.logMean += weight * deviation
	// The product of the deviations from the mean before and after its update is zero for the first sample.
	c.logVariance += weight * (deviation*(math.Log(seconds)-c.logMean) - c.logVariance)
}

// Expected returns the mean run time of a class, or of all requests if the class has too few samples.
func (c *Classes) Expected(class *Class) time.Duration {
	if class.samples < minSamples {
		class = &c.overall
	}
	if class.samples == 0 {
		return c.initial
	}
	return time.Duration(class.mean * float64(time.Second))
}

// stragglerDeviations is the number of standard deviations of the logarithm above its mean from which a request is a
// straggler. With 2, about 3% of the requests of a class with log-normal run times are stragglers.
const stragglerDeviations = 2

// StragglerThreshold returns the run time from which a request of a class is a straggler, or zero if the class has too
// few samples.
func (c *Classes) StragglerThreshold(class *Class) time.Duration {
	if class.samples < minSamples {
		return 0
	}
	return time.Duration(math.Exp(class.logMean+stragglerDeviations*math.Sqrt(class.logVariance)) * float64(time.Second))
}

// Long reports whether the measured run times classify a class as long.
func (c *Classes) Long(class *Class) bool { return class.long }

// LogRatio returns the logarithm of a run time relative to the typical run time of its class; zero is typical. It reports
// false if the class has too few samples.
func (c *Classes) LogRatio(class *Class, runTime time.Duration) (float64, bool) {
	if class.samples < minSamples {
		return 0, false
	}
	return math.Log(max(runTime.Seconds(), 1e-6)) - class.logMean, true
}
