package demo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderline/oleanderline"
)

// daemon is what the entry and the scheduler have in common.
type daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Kill()
}

// ownVM is one of the system's own VMs: an entry and a scheduler at one IP number.
type ownVM struct {
	id     oleanderline.VMID
	domain oleanderline.DomainID
	ip     string
	ports  ports
	entry  daemon
	sched  daemon
	ended  bool // killed or stopped
}

// ports are the same on all own VMs.
type ports struct {
	callers, entryPeers, entryOperators, jobs, schedPeers, schedOperators int
}

const portsPerVM = 6

// Port numbers that are tried. They are below the ranges from which systems take ports for outgoing connections, so
// that no connection of the demo itself takes one of them.
const (
	firstPort = 21_000
	lastPort  = 29_000
)

// findPorts returns ports that are free at all IP numbers. Processes begin to look at different ports, because two that
// run at the same time could otherwise find the same ones free.
func findPorts(ips []string) (ports, error) {
	const groups = (lastPort - firstPort) / portsPerVM
	for i := range groups {
		base := firstPort + (os.Getpid()+i)%groups*portsPerVM
		if allFree(ips, base) {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("no %d free ports in a row from %d to %d", portsPerVM, firstPort, lastPort)
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+portsPerVM; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (v *ownVM) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

func (v *ownVM) url(port int) string { return "http://" + v.address(port) }

// daemons returns the daemons with the ports at which operators reach them.
func (v *ownVM) daemons() map[string]int {
	return map[string]int{
		string(v.id) + " entry": v.ports.entryOperators,
		string(v.id) + " sched": v.ports.schedOperators,
	}
}

func (v *ownVM) start(ctx context.Context) error {
	if err := v.entry.Start(ctx); err != nil {
		return fmt.Errorf("%s: entry: %w", v.id, err)
	}
	if err := v.sched.Start(ctx); err != nil {
		return fmt.Errorf("%s: scheduler: %w", v.id, err)
	}
	return nil
}

func (v *ownVM) stop(ctx context.Context) error {
	return errors.Join(v.entry.Stop(ctx), v.sched.Stop(ctx))
}

func (v *ownVM) kill() {
	v.ended = true
	v.entry.Kill()
	v.sched.Kill()
}

// ready reports whether both daemons are ready.
func (v *ownVM) ready(ctx context.Context) error {
	for name, port := range v.daemons() {
		response, err := get(ctx, v.url(port)+"/readyz")
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s is not ready: %s", name, response.Status)
		}
	}
	return nil
}

// revisions returns the rules revision of both daemons, as their metrics give it.
func (v *ownVM) revisions(ctx context.Context) (map[string]oleanderline.Revision, error) {
	found := map[string]oleanderline.Revision{}
	for name, port := range v.daemons() {
		value, err := metric(ctx, v.url(port)+"/metrics", "oleander_rules_revision")
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		found[name] = oleanderline.Revision(value)
	}
	return found, nil
}

func metric(ctx context.Context, url, name string) (float64, error) {
	response, err := get(ctx, url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Join(lines.Err(), fmt.Errorf("%s has no metric %s", url, name))
}

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// until repeats a probe until it succeeds, or returns its last error when the time is over.
func until(ctx context.Context, limit time.Duration, probe func(context.Context) error) error {
	const pause = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := probe(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}
