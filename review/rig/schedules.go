//go:build review

package main

import "time"

const (
	minutesOfWeek = 7 * 24 * 60
	weeklyJobs    = 60
)

// schedules submits jobs that run once a minute for a week, beside small jobs.
func schedules(r *rig) {
	r.prepare(6, 12, 0.4, true, size{16000, 62500})
	begin := time.Now()
	count := int64(8)
	if r.trouble {
		count = minutesOfWeek
	}
	go func() {
		time.Sleep(5 * time.Second)
		for i := range weeklyJobs {
			go r.submit(&job{
				Spec: "(text)", Steps: []step{{Count: 1, CPU: 500, Memory: 256, EstimateMS: 900}}, RepeatCount: count,
				StartAtMS: time.Now().Add(time.Hour + time.Duration(i)*time.Second).UnixMilli(), IntervalMS: time.Minute.Milliseconds(), runTime: time.Second, quiet: true,
			})
			time.Sleep(66 * time.Millisecond)
		}
	}()
	r.traffic(80*time.Millisecond, begin.Add(40*time.Second))
	r.checkLost(func(j *job) bool { return j.RepeatCount == 0 })
	r.checkOwnEnds()
}
