//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	memoryPoll   = 5 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	readyTimeout = 15 * time.Second
	command      = "target/oleander-node" // as in deploy/system.toml
	metricsPort  = 9100
)

// node is one machine of the system with its process, which the platform starts again whenever it ends.
type node struct {
	rig      *rig
	name     string
	ip       string
	front    string
	ready    string
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    bool
	signaled bool // the last end was ordered
	ownEnds  int  // ends of its own, those for want of memory included
	starts   int
}

// addNodes writes the settings of the nodes and starts them.
func (r *rig) addNodes(count int, share float64) {
	network := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	ports := freePorts(network+"1", 4)
	for i := range count {
		n := &node{rig: r, name: fmt.Sprintf("edge-%d", i+1), ip: network + strconv.Itoa(i+1)}
		n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
		lines := []string{
			"nodeName=" + n.name, "role=node", "machineClass=edge", "serves=edge", "ip=" + n.ip, "zone=z-a", "region=r-a", "zones.z-a=r-a",
			"listen.front=" + n.front, "listen.ready=" + n.ready, fmt.Sprintf("portRange=%d,%d", ports[2], ports[2]+15), "bootstrap=true",
			fmt.Sprintf("limits.cpuShare=%g", share), "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMB), "limits.maxFds=4100", "limits.linkMbps=1000.0",
			"discovery=platform", "heartbeatMs=1100", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
			"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000",
			"bounds.maxHoldMs=10000", "bounds.stopGraceMs=200", "bounds.gangWaitMs=3000", "bounds.status_s=120", "bounds.maintenanceS=2",
			"bounds.fencingRequired=true", "bounds.leaseMs=3000", "orders=call", "platform.addr=" + r.storeAddress, "platform.form=log",
			"platform.writesPerS=600", "platform.readsPerS=2000", "platform.recordBytes=262144", "platform.requestBytes=2097152", "platform.keep_s=300",
		}
		n.settings = filepath.Join(r.tmp, n.name+".conf")
		r.must(os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		n.start()
	}
}

// freePorts returns ports that are free on an address.
func freePorts(ip string, count int) []int {
	var ports []int
	for len(ports) < count {
		port := 10000 + rand.IntN(20000)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, port)
	}
	return ports
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(n.rig.tmp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.rig.must(err)
	cmd := exec.Command(command)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.tmp, "OLEANDERLINE_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.rig.must(cmd.Start())
	n.cmd, n.signaled = cmd, false
	n.starts++
	exited := make(chan struct{})
	go n.watchMemory(cmd, exited)
	go func() {
		_ = cmd.Wait()
		close(exited)
		_ = log.Close()
		n.mu.Lock()
		n.cmd = nil
		own := !n.signaled && !n.ended
		if own {
			n.ownEnds++
		}
		count, ended := n.ownEnds, n.ended
		n.mu.Unlock()
		if own {
			n.rig.note("process of %s ends by itself for the %d. time: %s", n.name, count, cmd.ProcessState)
		}
		if !ended {
			time.Sleep(restartDelay)
			n.start()
		}
	}()
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (n *node) watchMemory(cmd *exec.Cmd, exited <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid)
	ticker := time.NewTicker(memoryPoll)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		fields := strings.Fields(string(data))
		if err != nil || len(fields) < 3 {
			continue
		}
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		shared, _ := strconv.ParseInt(fields[2], 10, 64)
		if bytes := (resident - shared) * int64(os.Getpagesize()); bytes > memoryMB<<20 {
			n.rig.note("process of %s uses %d MB of %d MB and is killed", n.name, bytes>>20, memoryMB)
			_ = cmd.Process.Kill()
			return
		}
	}
}

// signal sends a signal to the process, if it runs.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.signaled = n.signaled || signal == syscall.SIGKILL || signal == syscall.SIGTERM
		_ = n.cmd.Process.Signal(signal)
	}
}

// end ends the process for good.
func (n *node) end() {
	n.mu.Lock()
	n.ended = true
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
	for {
		n.mu.Lock()
		gone := n.cmd == nil
		n.mu.Unlock()
		if gone {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitReady waits until all nodes report that they are ready.
func (r *rig) awaitReady() {
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			response, err := r.stateless.Get("http://" + n.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.nodes) {
			r.note("all nodes are ready")
			return
		}
	}
	panic(unfit{errNotReady})
}

// checkOwnEnds checks the rule Fault: on a tenth of the machines, two at least, processes end by themselves three times.
func (r *rig) checkOwnEnds() {
	machines, all := 0, 0
	for _, n := range r.nodes {
		n.mu.Lock()
		all += n.ownEnds
		if n.ownEnds >= 3 {
			machines++
		}
		n.mu.Unlock()
	}
	r.note("processes have ended by themselves %d times; on %d of %d machines three times or more", all, machines, len(r.nodes))
	if machines >= max(2, (len(r.nodes)+9)/10) {
		r.violate("Fault", "on %d of %d machines, processes have ended by themselves three times or more", machines, len(r.nodes))
	}
}
