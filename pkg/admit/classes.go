package admit

import (
	"math"
	"time"
)

// Class is what is known about the run times of one kind of request.
type Class struct {
	samples int
	mean    float64 // seconds, moving average
	typical float64 // moving average of the logarithm, which stragglers hardly move
	square  float64 // moving average of the squared distance of the logarithm from typical
	long    bool
}

// Classes learns run times by class for one service. It tells long classes from short ones where no rule does.
type Classes struct {
	all     Class
	classes map[string]*Class
	initial time.Duration
}

const (
	// maxClasses bounds the memory when callers invent classes; the rest share one.
	maxClasses = 256
	// learned is the number of samples after which a class is trusted.
	learned = 16
	// The averages follow about the last 500 run times, enough for heavy tails.
	classWeight = 1.0 / 500
	// A class becomes long when its typical run time is 4 times that of all requests, and short again below 2.5 times, so
	// that it does not alternate.
	longFrom  = 4
	shortFrom = 2.5
)

// NewClasses returns an empty table; initial is the run time to expect before any is measured.
func NewClasses(initial time.Duration) *Classes {
	return &Classes{classes: map[string]*Class{}, initial: initial}
}

// Get returns the class with a name.
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
func (c *Classes) Observe(class *Class, ran time.Duration) {
	seconds := max(ran.Seconds(), 1e-6)
	c.all.observe(seconds)
	class.observe(seconds)
	if class.samples < learned {
		return
	}
	above := math.Exp(class.typical - c.all.typical)
	if class.long {
		class.long = above > shortFrom
	} else {
		class.long = above > longFrom
	}
}

func (c *Class) observe(seconds float64) {
	c.samples++
	weight := max(classWeight, 1/float64(c.samples))
	c.mean += weight * (seconds - c.mean)
	distance := math.Log(seconds) - c.typical
	c.typical += weight * distance
	// The product of the distances before and after the update is zero for the first sample.
	c.square += weight * (distance*(math.Log(seconds)-c.typical) - c.square)
}

// Expected returns the mean run time to expect of a class.
func (c *Classes) Expected(class *Class) time.Duration {
	if class.samples < learned {
		class = &c.all
	}
	if class.samples == 0 {
		return c.initial
	}
	return time.Duration(class.mean * float64(time.Second))
}

// hedgeDeviations is the number of standard deviations of the logarithm above the typical run time from which a request
// is taken for a straggler. With 2, about 3% of the requests of a log-normal class are.
const hedgeDeviations = 2

// Straggles returns the run time from which a request of a class is taken for a straggler, or zero until the class is
// learned.
func (c *Classes) Straggles(class *Class) time.Duration {
	if class.samples < learned {
		return 0
	}
	return time.Duration(math.Exp(class.typical+hedgeDeviations*math.Sqrt(class.square)) * float64(time.Second))
}

// Long reports whether a class was learned to be long.
func (c *Classes) Long(class *Class) bool { return class.long }

// Ratio compares a run time with the typical one of its class, as a logarithm; zero is typical. It reports false until
// the class is learned.
func (c *Classes) Ratio(class *Class, ran time.Duration) (float64, bool) {
	if class.samples < learned {
		return 0, false
	}
	return math.Log(max(ran.Seconds(), 1e-6)) - class.typical, true
}
