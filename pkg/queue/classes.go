package queue

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

// ClassKey identifies a class of jobs of one team. Tasks of one class are expected to have similar run times.
type ClassKey struct {
	Team  oleanderline.TeamID
	Class string
}

// Parameters of the run time estimate, which is an exponentially weighted moving average of the logarithms of run times.
// With logarithms, a straggler that takes 20 times the usual run time weighs as much as three ordinary deviations and does
// not distort the average of its class for a long time.
const (
	// learnWeight is the weight of the newest run time. A class of 5 s tasks, which starts at priorRun, is classified as short
	// after three completions.
	learnWeight = 0.2
	// priorRun is the estimate for a class without completed tasks. It is well above the limit for short tasks, because
	// otherwise an unknown class could fill the capacity that is reserved for short tasks with long ones.
	priorRun = 5 * time.Minute
)

// Classes estimates run times by class. It is not safe for concurrent use.
type Classes struct {
	meanLogs map[ClassKey]float64 // moving averages of the natural logarithm of the run time in seconds
}

// NewClasses returns an empty estimator. All classes start with the same estimate.
func NewClasses() *Classes { return &Classes{meanLogs: map[ClassKey]float64{}} }

// Observe updates the estimate of a class with the run time of a completed task.
func (c *Classes) Observe(key ClassKey, ran time.Duration) {
	mean, ok := c.meanLogs[key]
	if !ok {
		mean = logSeconds(priorRun)
	}
	c.meanLogs[key] = mean + learnWeight*(logSeconds(ran)-mean)
}

// Expected returns the estimated run time of a task of the class.
func (c *Classes) Expected(key ClassKey) time.Duration {
	mean, ok := c.meanLogs[key]
	if !ok {
		return priorRun
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}
