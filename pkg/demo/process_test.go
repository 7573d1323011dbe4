package demo

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// waitTimeout is the timeout of waits. It is much longer than they take without a fault.
const waitTimeout = 30 * time.Second

// build compiles the daemons and returns the directory of the binaries.
func build(t testing.TB) string {
	t.Helper()
	directory := t.TempDir()
	for _, name := range []string{"oleander-entry", "oleander-sched"} {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, name),
			"github.com/oleanderline/oleanderline/cmd/"+name)
		out, err := command.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	return directory
}

// process is a daemon process that the test has started.
type process struct {
	command *exec.Cmd
	log     bytes.Buffer
}

func start(t testing.TB, path string, flags ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(path, flags...)}
	p.command.Stderr = &p.log
	p.command.Env = append(os.Environ(), "OLEANDER_KEY="+sharedKey)
	require.NoError(t, p.command.Start())
	t.Cleanup(func() { _ = p.command.Process.Kill() })
	return p
}

// terminate stops the process with SIGTERM, as in a planned stop, and returns the exit status.
func (p *process) terminate(t *testing.T) int {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	err := p.command.Wait()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		require.NoError(t, err)
	}
	return p.command.ProcessState.ExitCode()
}

// Guards against daemons that work inside the demo's process, but not as separate processes that are configured by flags and
// stopped by signals, as a platform runs them.
func TestDaemonsAsProcesses(t *testing.T) {
	const ip = "127.0.2.1"
	binaries := build(t)
	layout := standin.DefaultLayout()
	layout.Own = []string{ip}
	platform, err := standin.NewPlatform(common.NewSystemClock(), layout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	log, err := platform.Serve("127.0.0.1:0", platform.Log.Handler())
	require.NoError(t, err)
	vms, err := platform.Serve("127.0.0.1:0", platform.VMs.Handler())
	require.NoError(t, err)
	ports, err := findPorts([]string{ip})
	require.NoError(t, err)
	vm := &ownVM{id: "own-1", ip: ip, ports: ports}
	flags := func(callers, peers, operators int) []string {
		return []string{
			"--id", "own-1", "--region", "demo", "--domain", "demo-1", "--log-service", "http://" + log,
			"--vm-list", "http://" + vms, "--listen", vm.address(callers), "--peer-listen", vm.address(peers),
			"--operator-listen", vm.address(operators),
		}
	}
	entryFlags := append(flags(ports.callers, ports.entryPeers, ports.entryOperators), "--drain-delay", "100ms")
	schedFlags := flags(ports.jobs, ports.schedPeers, ports.schedOperators)
	entry := start(t, filepath.Join(binaries, "oleander-entry"), entryFlags...)
	sched := start(t, filepath.Join(binaries, "oleander-sched"), schedFlags...)
	ctx := context.Background()
	require.NoError(t, poll(ctx, waitTimeout, vm.checkReady))

	load := newLoadGenerator(layout.Service, newBalancer([]target{{vm.id, vm.url(ports.callers)}}))
	got := load.attempt(requestSpec{id: "r-1", method: http.MethodPost, size: 1000}, load.balancer.pick(1))
	require.Equal(t, oleanderline.ResultAnswered, got.result, got.reason)
	require.Empty(t, got.mismatch)
	require.Equal(t, map[string]int{"r-1": 1}, platform.RequestRuns())

	jobs := newJobClient(newBalancer([]target{{vm.id, vm.url(ports.jobs)}}))
	jobs.submit(ctx, newJob("job-1", "routes", 2, 1000, "sleep 100ms"))
	require.NoError(t, poll(ctx, waitTimeout, jobs.checkFinished))
	states, errs := jobs.states(ctx)
	require.Empty(t, errs)
	require.Len(t, states, 1)
	require.Equal(t, 2, states[0].Done)
	require.Equal(t, 2, countCompleted(platform.WorkerRuns(), states[0].ID))

	require.Equal(t, 0, entry.terminate(t), entry.log.String())
	require.Equal(t, 0, sched.terminate(t), sched.log.String())
	checkBadSettings(t, binaries, entryFlags)
}

// checkBadSettings checks that a daemon with an invalid setting names it and exits with status 2.
func checkBadSettings(t *testing.T, binaries string, flags []string) {
	t.Helper()
	for _, name := range []string{"oleander-entry", "oleander-sched"} {
		for _, bad := range [][2]string{{"--listen", ":80"}, {"--log-level", "loud"}, {"--vm-list", "nowhere"}, {"--id", ""}} {
			arguments := append([]string(nil), flags[:len(flags)-2]...)
			for i := range arguments {
				if arguments[i] == bad[0] {
					arguments[i+1] = bad[1]
				}
			}
			if bad[0] == "--log-level" {
				arguments = append(arguments, bad[:]...)
			}
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			command := exec.CommandContext(ctx, filepath.Join(binaries, name), arguments...)
			command.Env = append(os.Environ(), "OLEANDER_KEY="+sharedKey)
			out, err := command.CombinedOutput()
			cancel()
			require.Error(t, err, name)
			require.Equal(t, 2, command.ProcessState.ExitCode(), name)
			require.Contains(t, string(out), bad[0]+"="+strconv.Quote(bad[1]), name)
		}
	}
}
