//go:build review

package main

import "time"

// steps submits jobs of many steps beside small jobs.
func steps(r *rig) {
	r.prepare(6, 12, 0.4, true, size{32000, 125000})
	begin := time.Now()
	many := 20
	if r.trouble {
		many = 4500
	}
	go func() {
		time.Sleep(8 * time.Second)
		for range 4 {
			j := &job{Spec: "(text)", runTime: 500 * time.Millisecond, quiet: true}
			for range many {
				j.Steps = append(j.Steps, step{Count: 1, CPU: 5, Memory: 5, EstimateMS: 500})
			}
			go r.submit(j)
			time.Sleep(200 * time.Millisecond)
		}
	}()
	go r.watchProgress()
	r.watchedTraffic(300*time.Millisecond, begin.Add(60*time.Second))
	r.checkLost(func(*job) bool { return true })
	r.checkOwnEnds()
}
