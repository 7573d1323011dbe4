package sched

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/shard"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

const testKey = "a key for tests only"

// waitTimeout is the longest that these tests wait for a condition. It is far above the duration of any step, so it does not
// decide a result on a slow machine.
const waitTimeout = 30 * time.Second

const (
	testHeartbeat = 100 * time.Millisecond
	testShards    = 3
	firstTestPort = 10000
	testPorts     = 20000
	settledTime   = 10 * testHeartbeat // for which the owners of shards have not changed
)

// testCluster is a set of platform stand-ins with three schedulers.
type testCluster struct {
	t       *testing.T
	log     *standin.Log
	vms     *standin.VMs
	workers []*standin.Worker
	daemons []*Daemon
	urls    []string
}

func newTestCluster(t *testing.T) *testCluster {
	clock := common.NewSystemClock()
	c := &testCluster{t: t, log: standin.NewLog(clock)}
	var rows []oleanderline.VM
	size := oleanderline.Size{CPU: 4000, Memory: 8000}
	for i := range 6 {
		id := fmt.Sprintf("w-%d", i)
		worker := standin.NewWorker(oleanderline.WorkerID(id), size, clock)
		c.workers = append(c.workers, worker)
		rows = append(rows, oleanderline.VM{
			ID: oleanderline.VMID(id), Role: oleanderline.RoleWorker, State: oleanderline.VMLive, Size: size,
			Address: strings.TrimPrefix(c.serve(worker.Handler()), "http://"), Region: "r", Domain: "d-1",
			Rack: oleanderline.RackID(fmt.Sprintf("rack-%d", i%2)), // no worker belongs to the third shard, so its tasks move to other shards
		})
	}
	port := freePort(t)
	for i := range 3 {
		ip := fmt.Sprintf("127.0.0.%d", i+1)
		rows = append(rows, oleanderline.VM{
			ID: ownID(i), Role: oleanderline.RoleOwn, State: oleanderline.VMLive, Address: ip + ":1", Region: "r",
		})
	}
	c.vms = standin.NewVMs(clock, 0, rows...)
	logURL, vmsURL := c.serve(c.log.Handler()), c.serve(c.vms.Handler())
	for i := range 3 {
		c.start(i, port, logURL, vmsURL)
	}
	c.awaitSettled()
	return c
}

// awaitSettled waits until the daemons have exchanged heartbeats and each shard has stayed with one of them. While daemons start,
// shards move among them, and a submission whose shard moves is refused as not run.
func (c *testCluster) awaitSettled() {
	owned, since := [3]int{}, time.Now()
	c.await("shards have settled", func() bool {
		now, all := [3]int{}, 0
		for i, d := range c.daemons {
			if len(d.membership.members()) != len(c.daemons) {
				return false
			}
			now[i] = d.ownedShards()
			all += now[i]
		}
		if now != owned || all != testShards {
			owned, since = now, time.Now()
		}
		return time.Since(since) > settledTime
	})
}

func ownID(i int) oleanderline.VMID { return oleanderline.VMID(fmt.Sprintf("own-%d", i)) }

// freePort returns a port on which nothing listens. It is below those that the system gives to connections, one of which would
// otherwise take it before the daemon listens.
func freePort(t *testing.T) int {
	t.Helper()
	for range 100 {
		port := firstTestPort + rand.IntN(testPorts)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		return port
	}
	require.Fail(t, "no free port")
	return 0
}

func (c *testCluster) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.t.Cleanup(server.Close)
	return server.URL
}

func (c *testCluster) start(i, peerPort int, logURL, vmsURL string) {
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.Domain = string(ownID(i)), "r", fmt.Sprintf("d-%d", i)
	settings.Listen = fmt.Sprintf("%s:%d", ip, freePort(c.t))
	settings.PeerListen = fmt.Sprintf("%s:%d", ip, peerPort)
	settings.OperatorListen = fmt.Sprintf("%s:%d", ip, freePort(c.t))
	settings.Key, settings.LogService, settings.VMList = testKey, logURL, vmsURL
	settings.Heartbeat, settings.Renew, settings.Shards = testHeartbeat, testHeartbeat, testShards
	settings.AnswerTimeout = time.Second
	logger := common.NewLogger(io.Discard, logrus.InfoLevel)
	d, err := New(common.New("sched", common.WithLogger(logger)), settings)
	require.NoError(c.t, err)
	require.NoError(c.t, d.Start(context.Background()))
	c.t.Cleanup(d.Kill)
	c.daemons = append(c.daemons, d)
	c.urls = append(c.urls, "http://"+settings.Listen)
}

type jobReply struct {
	shard.JobStatus

	Result string `json:"result"`
	Error  string `json:"error"`
}

func (c *testCluster) call(method, url string, body any) (int, jobReply) {
	data, err := json.Marshal(body)
	require.NoError(c.t, err)
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	require.NoError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	var reply jobReply
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&reply))
	return response.StatusCode, reply
}

func (c *testCluster) submit(url, key, command string, count int) oleanderline.JobID {
	status, reply := c.call(http.MethodPost, url+"/jobs", map[string]any{
		"key": key, "team": "routes", "kind": "batch", "count": count, "cmd": command,
		"size": oleanderline.Size{CPU: 1000, Memory: 1000},
	})
	require.Equal(c.t, http.StatusCreated, status, "%+v", reply)
	return reply.ID
}

func (c *testCluster) await(what string, done func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !done() {
		require.True(c.t, time.Now().Before(deadline), what)
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *testCluster) awaitDone(url string, id oleanderline.JobID, count int) {
	c.await("job is done", func() bool {
		status, reply := c.call(http.MethodGet, url+"/jobs/"+string(id), nil)
		return status == http.StatusOK && reply.Done == count
	})
}

func (c *testCluster) requireNoViolations() {
	var runs []standin.Run
	for _, w := range c.workers {
		runs = append(runs, w.Runs()...)
		require.Zero(c.t, w.CapacityRefusals())
	}
	require.Empty(c.t, standin.Violations(runs))
}

// Guards against accepted work that is never finished after a scheduler is lost, after another stops as planned, and after a
// job is cancelled.
func TestDaemonsFinishWorkWhileOthersComeAndGo(t *testing.T) {
	c := newTestCluster(t)
	var jobs []oleanderline.JobID
	for i := range 12 {
		jobs = append(jobs, c.submit(c.urls[i%3], fmt.Sprintf("key-%d", i), "sleep 500ms", 5))
	}
	long := c.submit(c.urls[0], "long", "sleep 1h", 1)
	c.daemons[0].Kill()
	require.NoError(t, c.daemons[1].Stop(context.Background()))
	last := c.urls[2]
	for i := range 3 {
		require.Equal(t, jobs[i], c.submit(last, fmt.Sprintf("key-%d", i), "sleep 500ms", 5), "same key, same job")
	}
	for _, id := range jobs {
		c.awaitDone(last, id, 5)
	}
	status, _ := c.call(http.MethodDelete, last+"/jobs/"+string(long), nil)
	require.Equal(t, http.StatusOK, status)
	c.await("long job is cancelled", func() bool {
		_, reply := c.call(http.MethodGet, last+"/jobs/"+string(long), nil)
		return reply.Cancelled == 1
	})
	_, reply := c.call(http.MethodDelete, last+"/jobs/"+string(jobs[0]), nil)
	require.Equal(t, "already finished", reply.Result)
	c.requireNoViolations()
}

// Guards against a look at a shard that goes on after its caller has given up: it would write to variables that the caller uses
// meanwhile. With the rooms of several shards, concurrent writes to one map ended the process.
func TestAbandonedInspectionDoesNotRun(t *testing.T) {
	c := newTestCluster(t)
	for _, s := range c.daemons[0].shards {
		busy, free := make(chan struct{}), make(chan struct{})
		require.True(t, s.coreLoop.Post(coreFunc(func(*shard.Core) {
			close(busy)
			<-free
		})))
		<-busy
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		looked := false
		require.ErrorIs(t, s.inspect(ctx, func(*shard.Core) { looked = true }), context.Canceled)
		close(free)
		require.NoError(t, s.inspect(t.Context(), func(*shard.Core) {}))
		require.False(t, looked)
	}
}

// Guards against a submission that is answered as not run during an outage of the log service but recorded later.
func TestDaemonRefusesSubmissionsWhileTheLogIsDown(t *testing.T) {
	c := newTestCluster(t)
	running := c.submit(c.urls[0], "running", "sleep 2s", 3)
	c.log.SetDown(true)
	status, reply := c.call(http.MethodPost, c.urls[1]+"/jobs", map[string]any{
		"key": "refused", "team": "routes", "count": 1, "cmd": "sleep 1ms", "size": oleanderline.Size{CPU: 1000, Memory: 1000},
	})
	require.Equal(t, http.StatusServiceUnavailable, status, "%+v", reply)
	c.log.SetDown(false)
	c.awaitDone(c.urls[2], running, 3)
	id := shard.NewJobID("refused", 3)
	status, _ = c.call(http.MethodGet, c.urls[0]+"/jobs/"+string(id), nil)
	require.Equal(t, http.StatusNotFound, status)
	c.requireNoViolations()
}

// Guards against a daemon that starts with an invalid setting, and against an error that does not give the flag, the value
// and the allowed range.
func TestSettingsNameFlagValueAndWhatIsAllowed(t *testing.T) {
	scenarios := []struct {
		change func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.ID = "" }, `--id="": must not be empty`},
		{func(s *Settings) { s.Listen = "host:80" }, `--listen="host:80": "host" is not an IP number`},
		{func(s *Settings) { s.PeerListen = "0.0.0.0:1" }, `--peer-listen="0.0.0.0:1": must be the IP number`},
		{func(s *Settings) { s.Key = "short" }, "--key (5 characters): must have at least 16 characters"},
		{func(s *Settings) { s.Shards = 0 }, "--shards=0: must be from 1 to 64"},
		{func(s *Settings) { s.Lease = time.Second }, "--lease=1s: must be from 3s to 10m0s"},
		{func(s *Settings) { s.Horizon = time.Second }, "--horizon=1s: must be from 30s to 6h0m0s"},
	}
	for _, s := range scenarios {
		settings := DefaultSettings()
		settings.ID, settings.Region, settings.Domain, settings.Key = "own-0", "r", "d-0", testKey
		settings.Listen, settings.PeerListen, settings.OperatorListen = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
		settings.LogService, settings.VMList = "http://127.0.0.1:4", "http://127.0.0.1:5"
		require.NoError(t, settings.Validate())
		s.change(&settings)
		require.ErrorContains(t, settings.Validate(), s.want)
	}
}
