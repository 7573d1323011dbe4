//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// visible is how long after its acknowledgement a job has to be known at every node (visible_ms), with the time that a request takes.
const visible = 3 * time.Second

// watchVisible asks every node for the job, from visible after its acceptance.
func (r *rig) watchVisible(j *job, acceptedAt time.Time) {
	time.Sleep(time.Until(acceptedAt.Add(visible + 200*time.Millisecond)))
	for _, n := range r.nodes {
		status, body, err := r.call(n, http.MethodGet, queuePrefix+j.ID, nil)
		if err == nil && status == http.StatusGone {
			r.violate("LOST", "GET of job %s at %s, %.1f s after its acceptance, is answered 410", j.ID, n.name, time.Since(acceptedAt).Seconds())
			continue
		}
		var reply struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(body, &reply)
		r.note("GET %s at %s: status %d %s %v", j.ID, n.name, status, reply.State, err)
	}
}

// watchedTraffic submits a small job every interval until the end, and asks for each one at every node.
func (r *rig) watchedTraffic(interval time.Duration, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(interval) {
		go func() {
			j := &job{Spec: "(text)", Steps: []step{{Count: 4, CPU: 500, Memory: 256, EstimateMS: 500}}, runTime: 500 * time.Millisecond}
			if r.submit(j) {
				r.watchVisible(j, time.Now())
			}
		}()
	}
}

// repeats runs one job that repeats 19,000 times beside small jobs.
func repeats(r *rig) {
	r.prepare(6, 6, 0.4, true, size{32000, 125000})
	begin := time.Now()
	count := int64(1000)
	if r.trouble {
		count = 19000
	}
	go r.submit(&job{
		Spec: "(text)", Steps: []step{{Count: 1, CPU: 100, Memory: 64, EstimateMS: 50}}, RepeatCount: count,
		StartAtMS: time.Now().Add(time.Second).UnixMilli(), IntervalMS: 3, runTime: 50 * time.Millisecond, quiet: true,
	})
	go r.watchProgress()
	r.smallJobs(begin.Add(84 * time.Second))
	r.checkLost(func(j *job) bool { return !j.quiet })
	r.checkOwnEnds()
}

// smallJobs submits about as many tasks a second as the clients of a small site until the end.
func (r *rig) smallJobs(end time.Time) {
	for ; time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		go r.submit(&job{Spec: "(text)", Steps: []step{{Count: 6, CPU: 500, Memory: 256, EstimateMS: 500}}, runTime: 500 * time.Millisecond})
	}
}

// lag runs six jobs that repeat 5,000 times each beside small jobs, and asks every node for each small job.
func lag(r *rig) {
	r.prepare(6, 6, 0.4, true, size{32000, 125000})
	begin := time.Now()
	count := int64(500)
	if r.trouble {
		count = 5000
	}
	for range 6 {
		go r.submit(&job{
			Spec: "(text)", Steps: []step{{Count: 1, CPU: 100, Memory: 64, EstimateMS: 50}}, RepeatCount: count,
			StartAtMS: time.Now().Add(time.Second).UnixMilli(), IntervalMS: 15, runTime: 50 * time.Millisecond, quiet: true,
		})
	}
	go r.watchProgress()
	r.watchedTraffic(500*time.Millisecond, begin.Add(70*time.Second))
	r.checkLost(func(j *job) bool { return !j.quiet })
	r.checkOwnEnds()
}

// watchProgress notes how much was started and stored.
func (r *rig) watchProgress() {
	for !r.closed.Load() {
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		starts, done, noted := r.starts, len(r.done), len(r.noted)
		r.mu.Unlock()
		r.store.mu.Lock()
		written, refused, last := r.store.bytesWritten, r.store.refusedBySize, r.store.lastRefusal
		r.store.mu.Unlock()
		r.note("so far %d starts, %d tasks done, %d of them taken note of, %d bytes written, %d appends refused by size %s", starts, done, noted, written, refused, last)
	}
}
