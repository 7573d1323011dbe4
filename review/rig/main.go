//go:build review

// Command rig plays one case of the second review: stand-ins of the platform, and the project's own program as processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitUnfit = 2
	maxTime   = 118 * time.Second
)

var cases = map[string]func(r *rig){
	"overflow":  overflow,
	"repeats":   repeats,
	"lag":       lag,
	"schedules": schedules,
	"steps":     steps,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitUnfit)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(scenario func(r *rig), dir string) (status int) {
	r := newRig(dir, os.Getenv("TROUBLE") != "0")
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
			r.note("the case takes longer than %s", maxTime)
		}
		r.close()
		os.Exit(exitUnfit)
	}()
	defer func() {
		if cause := recover(); cause != nil {
			r.note("the case could not run: %v", cause)
			fmt.Println("could not run:", cause)
			status = exitUnfit
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			for _, n := range r.nodes {
				if data, err := os.ReadFile(r.tmp + "/" + n.name + ".log"); err == nil {
					_ = os.WriteFile(keep+"/"+n.name+".log", data, 0o600)
				}
			}
		}
	}()
	scenario(r)
	return r.result()
}

// prepare starts a small deployment and waits until it serves.
func (r *rig) prepare(nodes, minions int, share float64, admissionCheck bool, capacity size) {
	r.configure(admissionCheck)
	for i := range minions {
		r.addMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), []string{"a", fmt.Sprintf("r1-%d", i/6)}, capacity, admissionCheck)
	}
	r.addNodes(nodes, share)
	r.awaitReady()
	time.Sleep(3 * time.Second)
}

// traffic submits a small job every interval until the end.
func (r *rig) traffic(interval time.Duration, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(interval) {
		go r.submit(&job{Spec: "(text)", Steps: []step{{Count: 4, CPU: 500, Memory: 256, EstimateMS: 500}}, runTime: 500 * time.Millisecond})
	}
}
