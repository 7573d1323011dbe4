package operator

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

type fakeStatus Status

func (s fakeStatus) Status() Status { return Status(s) }

type fakeExplainer struct{}

func (fakeExplainer) Explain(task oleanderline.TaskID) TaskExplanation {
	return TaskExplanation{Found: task == "j/1", Task: task, State: "waiting", Reasons: []string{"no worker fits"}}
}

// serve starts an operator listener on a loopback address and returns the address.
func serve(t *testing.T, c *common.Common, name string, follower *rules.Follower, options ...HandlerOption) string {
	server := peer.NewServer(c, "secret")
	status := fakeStatus{Daemon: name, ID: oleanderline.VMID(name + "-1")}
	require.NoError(t, NewHandler(c, status, follower, options...).Register(server, name))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

// Guards against calls that net/rpc cannot send, a daemon that is left out without an error, and access to the page /burn
// without the key.
func TestCallsReachEveryDaemon(t *testing.T) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	log := standin.NewLog(c.Clock)
	const text = "slo service=s latency=80ms target=99.9% # x\nhold cpu=20% vm=a from=Fri/18:00 until=Sat/02:00 zone=Europe/Stockholm # y\nfly # z"
	data, err := rules.Entry{ID: "a", By: "ana", Time: time.Unix(1, 0), Text: text}.Encode()
	require.NoError(t, err)
	ctx := context.Background()
	_, err = log.Append(ctx, rules.Stream, data)
	require.NoError(t, err)
	follower := rules.NewFollower(c, log)
	follower.Step(ctx)
	counter := burn.NewCounter()
	counter.SetRules(follower.Current())
	counter.Record(burn.Sample{Service: "s", Failed: true}, c.Clock.Now())

	entry := serve(t, c, EntryService, follower, WithCounter(counter))
	sched := serve(t, c, SchedService, follower, WithExplainer(fakeExplainer{}))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := closed.Addr().String()
	require.NoError(t, closed.Close())
	client := NewClient([]string{entry, sched, gone}, "secret")
	defer client.Close()

	status := client.Status(ctx)
	require.NoError(t, status[0].Err)
	require.NoError(t, status[1].Err)
	require.ErrorIs(t, status[2].Err, oleanderline.ErrUnavailable)
	require.Equal(t, oleanderline.VMID("Sched-1"), status[1].Value.ID)
	require.Equal(t, oleanderline.Revision(1), status[0].Value.Rules.Revision)
	require.Equal(t, []rules.Unknown{{Line: 3, Text: "fly # z"}}, status[0].Value.Rules.Ignored)
	require.Equal(t, text, client.Rules(ctx)[1].Value.Text)

	counts := client.Burn(ctx)
	require.Len(t, counts, 2, "the scheduler is left out, and the unreachable daemon is listed")
	require.Equal(t, uint64(1), counts[0].Value.Services[0].Counts[burn.Window1h].Bad)
	why := client.Why(ctx, "j/1")
	require.True(t, why[0].Value.Found)

	response, err := http.Get("http://" + entry + "/burn")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusForbidden, response.StatusCode)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/burn", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer secret")
	response, err = http.DefaultClient.Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(body), "<h2>s</h2>")
}
