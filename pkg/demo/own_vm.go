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

// daemon is the common interface of the entry and the scheduler.
type daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Kill()
}

// ownVM is one of the VMs that the system itself runs on. It has an entry and a scheduler on one IP address.
type ownVM struct {
	id      oleanderline.VMID
	domain  oleanderline.DomainID
	ip      string
	ports   ports
	entry   daemon
	sched   daemon
	stopped bool // stopped or killed
}

// ports holds the port numbers of the daemons, which are the same on all own VMs.
type ports struct {
	callers, entryPeers, entryOperators, jobs, schedPeers, schedOperators int
}

const portsPerVM = 6

// Range of the port numbers to try. It is below the usual ephemeral port ranges, so that no outgoing connection of the
// demo itself takes one of these ports.
const (
	firstPort = 21_000
	lastPort  = 29_000
)

// findPorts returns ports that are free on all IP addresses. The first port to try depends on the process id, because
// two processes that run at the same time could otherwise find the same ports free.
func findPorts(ips []string) (ports, error) {
	const groups = (lastPort - firstPort) / portsPerVM
	for i := range groups {
		base := firstPort + (os.Getpid()+i)%groups*portsPerVM
		if allFree(ips, base) {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("no %d consecutive free ports from %d to %d", portsPerVM, firstPort, lastPort)
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

// daemons returns the operator port of each daemon by the daemon's name.
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
	v.stopped = true
	v.entry.Kill()
	v.sched.Kill()
}

// checkReady returns an error unless both daemons are ready.
func (v *ownVM) checkReady(ctx context.Context) error {
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

// revisions returns the rules revisions that the daemons' metrics show, by the daemon's name.
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

// poll calls probe until it succeeds, or returns the last error after the timeout.
func poll(ctx context.Context, timeout time.Duration, probe func(context.Context) error) error {
	const pause = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
