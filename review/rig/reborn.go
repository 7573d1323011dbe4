//go:build review

package main

import (
	"fmt"
	"time"
)

// reborn lets single minions crash and start again under their ids as another kind, while jobs ask for one kind or the other.
func reborn(r *rig) {
	const minions = 12
	capacity := size{16000, 62500}
	labels := func(kind string, i int) []string { return []string{kind, fmt.Sprintf("r1-%d", i/6)} }
	kinds := make([]string, minions)
	r.configure(true)
	for i := range minions {
		kinds[i] = []string{"a", "b"}[i%2]
		r.addMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), labels(kinds[i], i), capacity, true)
	}
	r.addNodes(6, 0.4)
	r.awaitReady()
	time.Sleep(3 * time.Second)
	end := time.Now().Add(60 * time.Second)
	if r.trouble {
		go func() {
			for i := 0; time.Now().Before(end.Add(-5 * time.Second)); i++ {
				m, n := r.minions[i%minions], i%minions
				m.crash()
				time.Sleep(time.Second)
				kinds[n] = map[string]string{"a": "b", "b": "a"}[kinds[n]]
				r.note("minion %s starts again as kind %q", m.id, kinds[n])
				m.start(labels(kinds[n], n), capacity)
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	for i := 0; time.Now().Before(end); i++ {
		kind := []string{"a", "b"}[i%2]
		go r.submit(&job{Spec: "(text)", Steps: []step{{Count: 8, CPU: 3000, Memory: 256, EstimateMS: 1000, Label: kind}}, runTime: time.Second})
		time.Sleep(200 * time.Millisecond)
	}
	r.checkLost(func(*job) bool { return true })
	r.checkOwnEnds()
}
