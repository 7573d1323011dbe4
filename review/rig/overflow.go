//go:build review

package main

import (
	"math"
	"time"
)

// overflow submits one job whose number of repetitions is so high that the number of its tasks overflows 64 bits.
func overflow(r *rig) {
	r.prepare(6, 12, 0.4, true, size{16000, 62500})
	begin := time.Now()
	if r.trouble {
		time.AfterFunc(8*time.Second, func() {
			r.submit(&job{
				Spec: "(text)", Steps: []step{{Count: 4, CPU: 500, Memory: 256, EstimateMS: 900}}, RepeatCount: math.MaxInt64,
				StartAtMS: time.Now().Add(time.Hour).UnixMilli(), IntervalMS: 60000, runTime: time.Second, quiet: true,
			})
		})
	}
	r.traffic(80*time.Millisecond, begin.Add(40*time.Second))
	r.checkLost(func(j *job) bool { return j.RepeatCount == 0 })
	r.checkOwnEnds()
}
