//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/cellfake"
	"github.com/oleanderline/oleanderline/platform/standin"
)

const (
	program = "target/oleander-node" // as in the deploy file
	host    = "review.example"
	prefix  = "/jobs/"
	pool    = "depot"

	nodeCount = 3
	// Settings of the site, as in the pages of the smallest deployment.
	heartbeat    = 1100 * time.Millisecond
	maxHold      = 10 * time.Second
	stopGrace    = 200 * time.Millisecond
	noticeTime   = 4500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	storeLatency = 4 * time.Millisecond
)

// cell is a small deployment on loopback addresses: a store, nodes, minions and the service for their machines.
type cell struct {
	journal *journal
	dir     string
	store   *cellfake.Store
	nodes   []*node
	cloud   *cloud
	client  *http.Client
	servers []*http.Server

	mu      sync.Mutex
	minions []*minion
	jobs    map[string]job
	watch   observer
	clients int // numbers the requests of clients, so that they go to the nodes in turn
}

func newCell(j *journal) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{
		journal: j, dir: dir, store: cellfake.NewStore(), jobs: map[string]job{}, client: &http.Client{Timeout: 3 * time.Second},
	}
	c.cloud = newCloud(c)
	return c, nil
}

// start publishes the configuration, starts the nodes and waits until all of them are ready.
func (c *cell) start() error {
	c.publish("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "jobs", "host": host, "pathPrefix": prefix, "service": pool, "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 1000,
		}},
		"services": []any{map[string]any{"name": pool, "admissionCheck": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	storeHandler := standin.NewStore(c.store)
	storeAddress, err := c.serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		storeHandler.ServeHTTP(w, r)
	}))
	if err != nil {
		return err
	}
	cloudAddress, err := c.serve("127.0.0.1:0", c.cloud)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		n, err := c.startNode(i, storeAddress, cloudAddress)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	return c.awaitReady()
}

// observed returns who is told what happens on minions.
func (c *cell) observed() observer { return c.watch }

// serve serves handler until the case ends, and returns its address.
func (c *cell) serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }() // returns at the end of the case
	return listener.Addr().String(), nil
}

// publish appends a record for the operator or a minion, without the protocol.
func (c *cell) publish(stream, key string, value any) {
	data := []byte{}
	if value != nil {
		data, _ = json.Marshal(value) // a map of plain values
	}
	record := oleanderline.KeyedRecord{Key: key, Value: data}
	_, _ = c.store.Append(context.Background(), oleanderline.Stream(stream), []oleanderline.KeyedRecord{record}, oleanderline.AppendCondition{})
}

// close ends all processes and servers.
func (c *cell) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	c.mu.Lock()
	minions := c.minions
	c.mu.Unlock()
	for _, m := range minions {
		m.crash()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs of the nodes:", c.dir)
	}
}

// node is a process of the project.
type node struct {
	name, front string
	cmd         *exec.Cmd
	done        chan struct{}
	killed      bool
}

// startNode starts a node on its own loopback address.
func (c *cell) startNode(index int, store, cloudAddress string) (*node, error) {
	ip := fmt.Sprintf("127.0.1.%d", index+1)
	ports, err := freePorts(ip, 5)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("edge-%d", index+1), front: fmt.Sprintf("%s:%d", ip, ports[0]), done: make(chan struct{})}
	settings := filepath.Join(c.dir, n.name+".conf")
	lines := []string{
		"nodeName=" + n.name, "role=node", "machineClass=edge", "serves=edge", "ip=" + ip, "zone=a", "region=r", "zones.a=r",
		"listen.front=" + n.front, fmt.Sprintf("listen.ready=%s:%d", ip, ports[1]), fmt.Sprintf("portRange=%d,%d", ports[2], ports[2]),
		"bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"heartbeatMs=1100", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000", "bounds.maxHoldMs=10000",
		"bounds.stopGraceMs=200", "bounds.gangWaitMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120",
		"bounds.noticeMs=4500", "bounds.maintenanceS=2", "bounds.fencingRequired=true", "bounds.leaseMs=3000", "orders=call",
		"platform.addr=" + store, "platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000", "platform.keep_s=20",
		"cloudApi.addr=" + cloudAddress, "cloudApi.ratePerS=60.0", "cloudApi.dutiesPerS=60.0",
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.dir, n.name+".log"))
	if err != nil {
		return nil, err
	}
	n.cmd = exec.Command(program)
	n.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERLINE_BOOT=" + settings,
		fmt.Sprintf("OLEANDER_METRICS_PORT=%d", ports[3]),
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = n.cmd.Wait() // ProcessState has the result
		_ = log.Close()
		close(n.done)
	}()
	return n, nil
}

// freePorts returns ports of an address on which nothing listens.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (n *node) kill() {
	n.killed = true
	_ = n.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-n.done
}

// unexpectedExit names a node that has ended without a signal of the case.
func (c *cell) unexpectedExit() string {
	for _, n := range c.nodes {
		select {
		case <-n.done:
			if !n.killed {
				return n.name + ": " + n.cmd.ProcessState.String()
			}
		default:
		}
	}
	return ""
}

// readyTimeout is how long the nodes may take until one leads and all serve clients.
const readyTimeout = 15 * time.Second

// awaitReady waits until every node answers clients, and then until a leader has had the time to read the directory.
func (c *cell) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range c.nodes {
		for {
			status, _ := c.request(n, http.MethodGet, prefix, nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", n.name, readyTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}
