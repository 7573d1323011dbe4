package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

const (
	settleTime  = 8 * time.Second  // by then membership is stable, shards are claimed, inventories read and tasks started
	controlTime = 10 * time.Second // length of one measurement
	clockTicks  = 100              // per second; the unit of /proc/PID/stat
)

// BenchmarkControl measures the control-plane overhead of the daemons without requests and submissions: CPU time, memory,
// and bytes of calls to peers and to the platform. The daemons run as processes of their own, so that the stand-ins are
// not counted.
func BenchmarkControl(b *testing.B) {
	binaries := build(b)
	scenarios := []struct{ own, workers, minions, tasks int }{
		{3, 50, 50, 0},
		{7, 50, 50, 0},
		{7, 50, 50, 500},
		{7, 200, 50, 0},
		{7, 50, 200, 0},
		{7, 200, 200, 2000},
		{7, 435, 435, 4750}, // one of two regions at the design size
	}
	for _, s := range scenarios {
		b.Run(fmt.Sprintf("own=%d/workers=%d/minions=%d/tasks=%d", s.own, s.workers, s.minions, s.tasks), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, binaries, s.own, s.workers, s.minions, s.tasks)
			}
		})
	}
}

func measureControl(b *testing.B, binaries string, ownVMs, workers, minions, tasks int) {
	layout := standin.DefaultLayout()
	layout.Domains, layout.Racks, layout.Workers, layout.Minions = 4, max(8, workers/8), workers, minions
	layout.Own = nil
	for i := range ownVMs {
		layout.Own = append(layout.Own, fmt.Sprintf("127.0.3.%d", i+1))
	}
	platform, err := standin.NewPlatform(common.NewSystemClock(), layout)
	require.NoError(b, err)
	defer func() { _ = platform.Close() }()
	log, err := platform.Serve("127.0.0.1:0", platform.Log.Handler())
	require.NoError(b, err)
	vms, err := platform.Serve("127.0.0.1:0", platform.VMs.Handler())
	require.NoError(b, err)
	ports, err := findPorts(layout.Own)
	require.NoError(b, err)

	var entries, scheds []controlDaemon
	for i, ip := range layout.Own {
		vm := &ownVM{id: oleanderline.VMID(fmt.Sprintf("own-%d", i+1)), ip: ip, ports: ports}
		flags := func(callers, peers, operators int) []string {
			return []string{
				"--id", string(vm.id), "--region", "demo", "--domain", fmt.Sprintf("demo-%d", i%layout.Domains+1),
				"--log-service", "http://" + log, "--vm-list", "http://" + vms, "--log-level", "warning",
				"--listen", vm.address(callers), "--peer-listen", vm.address(peers), "--operator-listen", vm.address(operators),
			}
		}
		entry := start(b, filepath.Join(binaries, "oleander-entry"), flags(ports.callers, ports.entryPeers, ports.entryOperators)...)
		sched := start(b, filepath.Join(binaries, "oleander-sched"), flags(ports.jobs, ports.schedPeers, ports.schedOperators)...)
		entries = append(entries, controlDaemon{entry, vm.url(ports.entryOperators) + "/metrics"})
		scheds = append(scheds, controlDaemon{sched, vm.url(ports.schedOperators) + "/metrics"})
		require.NoError(b, poll(context.Background(), waitTimeout, vm.checkReady))
	}
	submitLong(fmt.Sprintf("http://%s:%d", layout.Own[0], ports.jobs), tasks)
	time.Sleep(settleTime)
	before := [2]usage{sumUsage(b, entries), sumUsage(b, scheds)}
	time.Sleep(controlTime)
	for i, name := range []string{"entry", "sched"} {
		after := sumUsage(b, [][]controlDaemon{entries, scheds}[i])
		seconds, n := controlTime.Seconds(), float64(ownVMs)
		b.ReportMetric((after.cpu-before[i].cpu).Seconds()/seconds/n*100, name+"-core-%")
		b.ReportMetric((after.peerBytes-before[i].peerBytes)/seconds/n, name+"-peer-B/s")
		b.ReportMetric((after.platformBytes-before[i].platformBytes)/seconds/n, name+"-platform-B/s")
		b.ReportMetric(after.memory/n/1e6, name+"-MB")
	}
	b.ReportMetric(float64(countRunning(platform)), "running-tasks")
	for _, d := range append(entries, scheds...) {
		require.NoError(b, d.process.command.Process.Kill())
		_ = d.process.command.Wait()
	}
}

// submitLong submits jobs whose tasks run longer than the measurement. Each job has its own key, so that they are spread
// over all shards.
func submitLong(url string, tasks int) {
	const perJob = 10
	jobs := newJobClient(newBalancer([]target{{"own-1", url}}))
	for i := range tasks / perJob {
		jobs.submit(context.Background(), newJob(fmt.Sprintf("control-%d", i), "routes", perJob, 1000, "sleep 1h"))
	}
}

func countRunning(p *standin.Platform) int {
	n := 0
	for _, run := range p.WorkerRuns() {
		if run.End.IsZero() {
			n++
		}
	}
	return n
}

// controlDaemon is a daemon process and the URL of its metrics.
type controlDaemon struct {
	process    *process
	metricsURL string
}

// usage is the resource usage of several daemons: totals since their start, and their current memory.
type usage struct {
	cpu                              time.Duration
	memory, peerBytes, platformBytes float64
}

func sumUsage(b *testing.B, daemons []controlDaemon) usage {
	var sum usage
	for _, d := range daemons {
		sum.cpu += cpuTime(b, d.process.command.Process.Pid)
		sum.memory += residentBytes(b, d.process.command.Process.Pid)
		response, err := get(context.Background(), d.metricsURL)
		require.NoError(b, err)
		page, err := io.ReadAll(response.Body)
		require.NoError(b, err)
		_ = response.Body.Close()
		sum.peerBytes += metricValue(string(page), "oleander_peer_bytes_total")
		sum.platformBytes += metricValue(string(page), "oleander_platform_bytes_total")
	}
	return sum
}

func metricValue(page, name string) float64 {
	for line := range strings.Lines(page) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return n
		}
	}
	return 0
}

func cpuTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const user, system = 11, 12 // indexes of the fields utime and stime after the program name
	sum := 0
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.Atoi(field)
		require.NoError(b, err)
		sum += n
	}
	return time.Duration(sum) * time.Second / clockTicks
}

func residentBytes(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(b, err)
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(b, err)
			return float64(kilobytes) * 1024
		}
	}
	require.Fail(b, "no VmRSS line in /proc status")
	return 0
}
