package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/logservice"
	"github.com/oleanderline/oleanderline/pkg/platform"
	"github.com/oleanderline/oleanderline/pkg/standin"
	"github.com/oleanderline/oleanderline/pkg/vmlist"
	"github.com/oleanderline/oleanderline/pkg/worker"
)

// shortTimeout is for calls that end only by their timeout; longTimeout is for calls that must succeed.
const (
	shortTimeout = 100 * time.Millisecond
	longTimeout  = 20 * time.Second
)

// startServer starts a server whose connections can be made unresponsive through the listener.
func startServer(t *testing.T, handler http.Handler) (string, *standin.Listener) {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	listener := standin.NewListener(server.Listener, 0)
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL, listener
}

// service is a stand-in service with one operation of its client.
type service struct {
	name    string
	faults  *standin.Faults
	handler http.Handler
	call    func(ctx context.Context, url string, options ...platform.Option) error
	effects func() int // number of operations that took effect; nil if the operation only reads
}

func newServices() []service {
	clock := common.NewSystemClock()
	log := standin.NewLog(clock)
	vms := standin.NewVMs(clock, 0, oleanderline.VM{ID: "w-1"})
	agent := standin.NewWorker("w-1", oleanderline.Size{CPU: 64_000, Memory: 64_000}, clock)
	return []service{
		{"log", &log.Faults, log.Handler(), func(ctx context.Context, url string, o ...platform.Option) error {
			_, err := logservice.NewClient(url, o...).Append(ctx, "shard/0 a", []byte("x"))
			return err
		}, log.Appends},
		{"vms", &vms.Faults, vms.Handler(), func(ctx context.Context, url string, o ...platform.Option) error {
			rows, err := vmlist.NewClient(url, o...).List(ctx)
			if err == nil && len(rows) != 1 {
				panic("VM list is incomplete")
			}
			return err
		}, nil},
		{"worker", &agent.Faults, agent.Handler(), func(ctx context.Context, url string, o ...platform.Option) error {
			n := len(agent.Runs())
			return worker.NewClient(url, o...).Start(ctx, oleanderline.StartRequest{
				Term: 3, Task: oleanderline.TaskID("j/" + string(rune('a'+n))), Attempt: 1, Command: "sleep 1h",
				Size: oleanderline.Size{CPU: 1, Memory: 1}, Lease: time.Hour,
			})
		}, func() int { return len(agent.Runs()) }},
	}
}

// Guards against an uncertain outcome being reported as certain, after which a caller would lose an operation or repeat it.
func TestClientsClassifyFaults(t *testing.T) {
	scenarios := []struct {
		name    string
		set     func(*standin.Faults)
		want    error
		effects int
	}{
		{"healthy", func(*standin.Faults) {}, nil, 1},
		{"outage", func(f *standin.Faults) { f.SetDown(true) }, oleanderline.ErrUnavailable, 0},
		{"slow", func(f *standin.Faults) { f.SetDelay(time.Hour) }, oleanderline.ErrUncertain, 1},
		{"answer lost", func(f *standin.Faults) { f.LoseAnswers(1) }, oleanderline.ErrUncertain, 1},
		{"paused", func(f *standin.Faults) { f.SetPaused(true) }, oleanderline.ErrUncertain, 0},
	}
	for _, s := range scenarios {
		for _, svc := range newServices() {
			t.Run(s.name+"/"+svc.name, func(t *testing.T) {
				url, _ := startServer(t, svc.handler)
				s.set(svc.faults)
				timeout := longTimeout
				if s.name == "slow" || s.name == "paused" {
					timeout = shortTimeout
				}
				err := svc.call(context.Background(), url, platform.WithTimeout(timeout))
				if s.want == nil {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, s.want)
				}
				if svc.effects != nil {
					require.Equal(t, s.effects, svc.effects())
				}
			})
		}
	}
}

// Guards against a refused connection being reported as an uncertain outcome, although nothing was sent.
func TestClientsWithoutServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	for _, svc := range newServices() {
		err := svc.call(context.Background(), server.URL)
		require.ErrorIs(t, err, oleanderline.ErrUnavailable, svc.name)
		require.NotErrorIs(t, err, oleanderline.ErrUncertain, svc.name)
	}
}

// Guards against net/http retrying an append by itself after a reused connection has failed.
func TestAppendIsNeverReplayed(t *testing.T) {
	log := standin.NewLog(common.NewSystemClock())
	url, _ := startServer(t, log.Handler())
	client := logservice.NewClient(url)
	_, err := client.Append(context.Background(), "s", []byte("first"))
	require.NoError(t, err)
	log.LoseAnswers(1)
	_, err = client.Append(context.Background(), "s", []byte("second"))
	require.ErrorIs(t, err, oleanderline.ErrUncertain)
	require.Equal(t, 2, log.Appends())
}

// Guards against an unresponsive connection staying in the pool, where every later call on it would time out, too.
func TestUnresponsiveConnectionsLeaveThePool(t *testing.T) {
	vms := standin.NewVMs(common.NewSystemClock(), 0, oleanderline.VM{ID: "w-1"})
	barrier := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(2)
	handler := vms.Handler()
	url, listener := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-barrier:
		default:
			arrived.Done()
			<-barrier
		}
		handler.ServeHTTP(w, r)
	}))
	client := vmlist.NewClient(url)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			_, err := client.List(context.Background())
			require.NoError(t, err)
		})
	}
	arrived.Wait()
	close(barrier)
	calls.Wait()

	require.Equal(t, 2, listener.Silence(), "both connections are in the pool")
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := client.List(ctx)
	require.ErrorIs(t, err, oleanderline.ErrUncertain)
	rows, err := client.List(context.Background())
	require.NoError(t, err, "neither unresponsive connection is reused")
	require.Len(t, rows, 1)
}

// Guards against a refusal by the worker that the client reports as another error, and against answers that lose leases,
// outcomes or checkpoints on the way.
func TestWorkerClientRefusals(t *testing.T) {
	agent := standin.NewWorker("w-1", oleanderline.Size{CPU: 1000, Memory: 1000}, common.NewSystemClock())
	url, _ := startServer(t, agent.Handler())
	client := worker.NewClient(url)
	ctx := context.Background()
	req := oleanderline.StartRequest{
		Shard: 2, Term: 7, Task: "j/1", Attempt: 1, Command: "sleep 1h", Lease: time.Hour,
		Size: oleanderline.Size{CPU: 600, Memory: 600},
	}
	require.NoError(t, client.Start(ctx, req))
	req.Task = "j/2"
	require.ErrorIs(t, client.Start(ctx, req), oleanderline.ErrCapacity)
	req.Term = 6
	require.ErrorIs(t, client.Start(ctx, req), oleanderline.ErrFenced)
	inventory, err := client.Renew(ctx, oleanderline.RenewRequest{Shard: 2, Term: 7, Lease: time.Hour})
	require.NoError(t, err)
	require.Len(t, inventory.Leases, 1)
	stopped, err := client.Stop(ctx, oleanderline.StopRequest{Shard: 2, Term: 8, Task: "j/1", Attempt: 1, Checkpoint: true})
	require.NoError(t, err)
	require.True(t, stopped.Stopped)
	require.NotEmpty(t, stopped.Checkpoint)
	inventory, err = client.Inventory(ctx, 2)
	require.NoError(t, err)
	require.Len(t, inventory.Outcomes, 1)
	usage, err := client.Usage(ctx)
	require.NoError(t, err)
	require.Empty(t, usage.Tasks)
	err = client.Throttle(ctx, oleanderline.ThrottleRequest{Shard: 2, Term: 8, Task: "j/1", Attempt: 1, Share: 2})
	require.ErrorIs(t, err, oleanderline.ErrUnavailable, "an invalid share is refused")
}

// Guards against a truncated answer being treated as complete.
func TestTruncatedAnswer(t *testing.T) {
	url, _ := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("[]"))
	}))
	_, err := vmlist.NewClient(url).List(context.Background())
	require.ErrorIs(t, err, oleanderline.ErrUncertain)
}
