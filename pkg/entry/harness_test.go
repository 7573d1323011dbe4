package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

const (
	testService = "reservations"
	// waitTimeout limits waits for conditions. It is long because only a failing test waits for all of it.
	waitTimeout  = 5 * time.Second
	pollInterval = 5 * time.Millisecond
)

// fakeVMs is a VM list in memory that returns changes at once.
type fakeVMs struct {
	mu   sync.Mutex
	rows []oleanderline.VM
}

func (f *fakeVMs) List(context.Context) ([]oleanderline.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]oleanderline.VM{}, f.rows...), nil
}

func (f *fakeVMs) update(apply func(rows []oleanderline.VM) []oleanderline.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = apply(f.rows)
}

// cluster is a set of entries on loopback addresses that share a VM list and an initially empty rules stream.
type cluster struct {
	tb             testing.TB
	vms            *fakeVMs
	log            *standin.Log
	port           string
	hosts          int
	adjustSettings func(*Settings)
	options        []Option
}

func newCluster(tb testing.TB, options ...Option) *cluster {
	return &cluster{
		tb:             tb,
		vms:            &fakeVMs{},
		log:            standin.NewLog(common.NewSystemClock()),
		port:           freePort(tb),
		adjustSettings: func(*Settings) {},
		options:        options,
	}
}

// loopbackHost returns a loopback address that depends on the process id, so that test processes that run at the same
// time do not use the same ports.
func loopbackHost(n int) string {
	const networks, hosts = 100, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%networks, 1+pid/networks%hosts, n)
}

// freePort returns a port below the range of ephemeral ports. The search starts at a port that depends on the process
// id, and skips ports that are in use at 127.0.0.1.
func freePort(tb testing.TB) string {
	const first, count = 12_000, 8_000
	for i := range count {
		port := strconv.Itoa(first + (os.Getpid()+int(nextPort.Add(1))+i)%count)
		if listener, err := net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			require.NoError(tb, listener.Close())
			return port
		}
	}
	require.Fail(tb, "no free port")
	return ""
}

var nextPort atomic.Int64

// addMinion starts an HTTP server with the handler and adds it to the VM list as a minion.
func (c *cluster) addMinion(id string, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	c.tb.Cleanup(server.Close)
	c.listMinion(id, server.Listener.Addr().String())
	return server
}

func (c *cluster) listMinion(id, address string) {
	c.vms.update(func(rows []oleanderline.VM) []oleanderline.VM {
		return append(rows, oleanderline.VM{
			ID: oleanderline.VMID(id), Role: oleanderline.RoleMinion, State: oleanderline.VMLive, Address: address,
			Service: testService, Slots: 8,
		})
	})
}

// addEntry adds an entry on the next loopback address to the VM list and starts it. It replaces a listed entry with the
// same id.
func (c *cluster) addEntry(id string, options ...Option) *Daemon {
	c.hosts++
	host := loopbackHost(c.hosts)
	c.vms.update(func(rows []oleanderline.VM) []oleanderline.VM {
		row := oleanderline.VM{
			ID: oleanderline.VMID(id), Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: net.JoinHostPort(host, "1"),
		}
		return append(withoutVM(rows, id), row)
	})
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.Domain = id, "r", "d"
	settings.Listen, settings.OperatorListen = host+":0", host+":0"
	settings.PeerListen = net.JoinHostPort(host, c.port)
	settings.Key = "a key of tests only"
	settings.LogService, settings.VMList = "http://127.0.0.1:1", "http://127.0.0.1:1"
	settings.Heartbeat, settings.VMListPoll, settings.DrainDelay = 100*time.Millisecond, 20*time.Millisecond, 0
	c.adjustSettings(&settings)
	require.NoError(c.tb, settings.Validate())
	quiet := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	all := append([]Option{WithVMList(c.vms), WithLogService(c.log)}, c.options...)
	d, err := New(quiet, settings, append(all, options...)...)
	require.NoError(c.tb, err)
	require.NoError(c.tb, d.Start())
	c.tb.Cleanup(d.Kill)
	return d
}

func withoutVM(rows []oleanderline.VM, id string) []oleanderline.VM {
	var kept []oleanderline.VM
	for _, row := range rows {
		if row.ID != oleanderline.VMID(id) {
			kept = append(kept, row)
		}
	}
	return kept
}

// addEntries starts entries and waits until each is ready and has all others in its view.
func (c *cluster) addEntries(ids ...string) []*Daemon {
	var entries []*Daemon
	for _, id := range ids {
		entries = append(entries, c.addEntry(id))
	}
	waitReady(c.tb, entries...)
	return entries
}

func waitReady(tb testing.TB, entries ...*Daemon) {
	for _, d := range entries {
		require.Eventually(tb, func() bool {
			return d.notReadyReason() == "" && len(d.members.servingIDs(time.Now())) >= len(entries)
		}, waitTimeout, pollInterval, "entry %s: %s", d.settings.ID, d.notReadyReason())
	}
}

// result is the response to a request from the caller's point of view.
type result struct {
	status int
	header http.Header
	body   string
	err    error // while reading the header or the body
}

type requestOption func(*http.Request)

func withHeader(name, value string) requestOption {
	return func(r *http.Request) { r.Header[name] = []string{value} }
}

// send sends one request on a new connection, so that net/http never resends it.
func send(d *Daemon, method, path, body string, options ...requestOption) result {
	request, err := http.NewRequest(method, "http://"+d.CallerAddress()+"/s/"+testService+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Close = true
	for _, option := range options {
		option(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close() //nolint:errcheck // read only
	content, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// requireOutcome checks the status, the result and the reason in the response to a request.
func requireOutcome(t *testing.T, r result, status int, outcome oleanderline.Result, reason string) {
	t.Helper()
	require.NoError(t, r.err)
	require.Equal(t, status, r.status, "%v %s", r.header, r.body)
	require.Equal(t, outcome.String(), r.header.Get("Oleander-Result"), r.body)
	require.Equal(t, reason, r.header.Get("Oleander-Reason"), r.body)
}
