package queue

import (
	"math"
	"time"

	"github.com/oleanderline/oleanderline"
)

// ClassKey names a class of jobs of one team, whose tasks are expected to run for similar times.
type ClassKey struct {
	Team  oleanderline.TeamID
	Class string
}

// Settings of the learned run times. They are averaged as logarithms, so that a straggler of 20 times the usual run time
// counts like three ordinary deviations instead of moving the average of its class for a long time.
const (
	// learnWeight is the weight of the newest run time. With the prior it takes a class of 5 s tasks three completions
	// to count as short.
	learnWeight = 0.2
	// priorRun is assumed of a class that nothing is known about. It is well above the bound for short work, because an
	// unknown class in the reserved share could fill it with long tasks.
	priorRun = 5 * time.Minute
)

// Classes holds the run times that were learned per class. It is not safe for concurrent use.
type Classes struct {
	logs map[ClassKey]float64 // average of the logarithm of the seconds
}

// NewClasses returns classes of which nothing is known.
func NewClasses() *Classes { return &Classes{logs: map[ClassKey]float64{}} }

// Done learns from a task that ran to its end.
func (c *Classes) Done(key ClassKey, ran time.Duration) {
	known, ok := c.logs[key]
	if !ok {
		known = logSeconds(priorRun)
	}
	c.logs[key] = known + learnWeight*(logSeconds(ran)-known)
}

// Expected returns the run time to expect of a task of the class.
func (c *Classes) Expected(key ClassKey) time.Duration {
	known, ok := c.logs[key]
	if !ok {
		return priorRun
	}
	return time.Duration(math.Exp(known) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Millisecond).Seconds())
}
