package ctl

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// harness runs commands against a simulated log service and daemons on loopback addresses.
type harness struct {
	t         *testing.T
	common    *common.Common
	log       *standin.Log
	operators []string
	input     string
}

func newHarness(t *testing.T) *harness {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	return &harness{t: t, common: c, log: standin.NewLog(c.Clock)}
}

func (h *harness) run(s Settings) (code int, out, err string) {
	s.LogService, s.Key, s.Operators = "http://unused", "secret", h.operators
	if s.Timeout == 0 {
		s.Timeout = 10 * time.Second
	}
	require.NoError(h.t, s.Validate())
	var stdout, stderr bytes.Buffer
	tool := New(s, WithLog(h.log), WithStreams(strings.NewReader(h.input), &stdout, &stderr))
	return tool.Run(context.Background()), stdout.String(), stderr.String()
}

func (h *harness) publish(name, by string, base *int64) (code int, out, err string) {
	return h.run(Settings{Publish: &PublishCommand{File: name, By: by, Base: base}})
}

func (h *harness) write(name, text string) {
	require.NoError(h.t, os.WriteFile(name, []byte(text), 0o600))
}

type fakeDaemon operator.Status

func (d fakeDaemon) Status() operator.Status { return operator.Status(d) }

func (fakeDaemon) Explain(task oleanderline.TaskID) operator.TaskExplanation {
	return operator.TaskExplanation{Found: task == "j/1", Task: task, State: "waiting", Reasons: []string{"no worker has 4 accelerators free"}}
}

// startDaemon starts an operator listener and returns its follower, which the caller steps or runs.
func (h *harness) startDaemon(service, id string, counter *burn.Counter) *rules.Follower {
	status := fakeDaemon{Daemon: strings.ToLower(service), ID: oleanderline.VMID(id), Started: h.common.Clock.Now()}
	follower := rules.NewFollower(h.common, h.log)
	options := []operator.HandlerOption{operator.WithExplainer(status)}
	if counter != nil {
		options = []operator.HandlerOption{operator.WithCounter(counter)}
	}
	server := peer.NewServer(h.common, "secret")
	require.NoError(h.t, operator.NewHandler(h.common, status, follower, options...).Register(server, service))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	h.t.Cleanup(func() {
		_ = server.Close()
		require.NoError(h.t, <-done)
	})
	h.operators = append(h.operators, listener.Addr().String())
	return follower
}

// Guards against a file that changes between show and publish, a base line that is stale after publish, and wrong exit
// codes.
func TestPublishRoundTripAndExitCodes(t *testing.T) {
	h := newHarness(t)
	name := filepath.Join(t.TempDir(), "rules.txt")
	text := "\ufeff# head\r\n\nquota team=t acc=1   # x\n# tail"
	h.write(name, text)
	code, _, err := h.publish(name, "ana", nil)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, err, "give --base")
	zero := int64(0)
	code, out, err := h.publish(name, "ana", &zero)
	require.Equal(t, ExitOK, code, err)
	require.Equal(t, "published as revision 1\n", out)

	code, _, _ = h.run(Settings{Show: &ShowCommand{Out: name}})
	require.Equal(t, ExitOK, code)
	code, out, _ = h.publish(name, "ana", nil)
	require.Equal(t, ExitOK, code)
	require.Equal(t, "nothing to publish: revision 1 has the same text\n", out)
	stored, readErr := os.ReadFile(name)
	require.NoError(t, readErr)
	require.Equal(t, rules.AddBase(text, 1), string(stored))

	mine, theirs := name+".mine", name+".theirs"
	h.write(mine, rules.AddBase("quota team=t acc=2 # mine\n", 1))
	h.write(theirs, rules.AddBase("quota team=t acc=3 # theirs\n", 1))
	code, _, _ = h.publish(theirs, "bo", nil)
	require.Equal(t, ExitOK, code)
	rest, base, _ := rules.CutBase(readFile(t, theirs))
	require.Equal(t, oleanderline.Revision(2), base, "the file can be edited and published again")
	require.Equal(t, "quota team=t acc=3 # theirs\n", rest)
	code, out, err = h.publish(mine, "ana", nil)
	require.Equal(t, ExitConflict, code)
	require.Contains(t, err, "bo published revision 2")
	require.Contains(t, out, "quota team=t acc=3 # theirs")

	h.write(mine, rules.AddBase("quta team=t acc=2 # mine\n", 2))
	code, _, err = h.publish(mine, "ana", nil)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, err, `.mine:error: 2:1: unknown verb "quta"`, "line numbers include the base line")
}

func readFile(t *testing.T, name string) string {
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(data)
}

// Guards against a wrong report of an outage or an unknown outcome, and against publishing a file twice.
func TestPublishInOutage(t *testing.T) {
	h := newHarness(t)
	name := filepath.Join(t.TempDir(), "rules.txt")
	h.write(name, rules.AddBase("quota team=t acc=1 # x\n", 0))
	h.log.SetDown(true)
	code, _, err := h.publish(name, "ana", nil)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, err, "the log service does not answer; nothing was published")
	code, _, err = h.run(Settings{Show: &ShowCommand{}})
	require.Equal(t, ExitFailure, code)
	require.Contains(t, err, errNoRules.Error())
	h.log.SetDown(false)

	follower := h.startDaemon(operator.SchedService, "own-1", nil)
	code, _, _ = h.publish(name, "ana", nil)
	require.Equal(t, ExitOK, code)
	follower.Step(context.Background())
	h.log.SetDown(true)
	code, out, err := h.run(Settings{Show: &ShowCommand{}})
	require.Equal(t, ExitOK, code)
	require.Contains(t, err, "revision 1 comes from an own VM")
	require.Equal(t, rules.AddBase("quota team=t acc=1 # x\n", 1), out)
	code, _, err = h.run(Settings{Publish: &PublishCommand{File: name, By: "ana", ID: "earlier"}})
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, err, "--id earlier")
	h.log.SetDown(false)

	h.log.SetPaused(true)
	h.write(name, rules.AddBase("quota team=t acc=2 # x\n", 1))
	code, _, _ = h.run(Settings{Publish: &PublishCommand{File: name, By: "ana"}, Timeout: 50 * time.Millisecond})
	require.Equal(t, ExitFailure, code, "nothing is appended while the newest revision cannot be read")
	h.log.SetPaused(false)
	require.Equal(t, 1, h.log.Appends())
}

// Guards against --wait that returns before every own VM has the revision in force, or that does not name the daemons with
// an older revision.
func TestPublishWaits(t *testing.T) {
	h := newHarness(t)
	name := filepath.Join(t.TempDir(), "rules.txt")
	h.write(name, rules.AddBase("quota team=t acc=1 # x\n", 0))
	running := h.startDaemon(operator.EntryService, "own-1", burn.NewCounter())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- running.Run(ctx) }()
	command := &PublishCommand{File: name, By: "ana", Wait: true}
	code, out, err := h.run(Settings{Publish: command})
	require.Equal(t, ExitOK, code, err)
	require.Contains(t, out, "revision 1 is in force at all 1 daemons")
	h.startDaemon(operator.SchedService, "own-2", nil)
	code, _, err = h.run(Settings{Publish: command, Timeout: time.Second})
	require.Equal(t, ExitFailure, code)
	require.Contains(t, err, "sched own-2: revision 0")
	cancel()
	require.NoError(t, <-done)

	answers := []operator.Answer[operator.Status]{{Value: operator.Status{
		ID: "own-1", Rules: rules.FollowerStatus{Revision: 7},
		Members: []operator.Member{{ID: "own-1", Alive: true, Revision: 6}, {ID: "own-3", Alive: true, Revision: 6}, {ID: "own-4"}},
	}}}
	require.Equal(t, []string{"own-3, which is not in --operators: revision 6"}, lagging(answers, 7))
	require.Equal(t, []string{"own VM own-3 answers its peers, but no daemon of it has answered here"}, missingVMs(answers))
}

// Guards against leaving out a daemon that does not answer.
func TestStatusWhyAndBurnNameEveryDaemon(t *testing.T) {
	h := newHarness(t)
	counter := burn.NewCounter()
	counter.SetRules(&rules.Set{Objectives: []rules.Objective{{Service: "s", Latency: time.Second, Target: 0.99}}})
	counter.Record(burn.Sample{Service: "s", Minion: "m-1", Failed: true}, h.common.Clock.Now())
	h.startDaemon(operator.EntryService, "own-1", counter)
	h.startDaemon(operator.SchedService, "own-1", nil)
	code, out, _ := h.run(Settings{Status: &StatusCommand{}})
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "0 shards")
	code, out, _ = h.run(Settings{Why: &WhyCommand{Task: "j/1"}})
	require.Equal(t, ExitOK, code)
	require.Equal(t, "task j/1: waiting\n  no worker has 4 accelerators free\n", out)
	code, out, _ = h.run(Settings{Burn: &BurnCommand{}})
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "minion m-1: 100.0% of the bad requests")

	const gone = "127.0.0.1:1"
	h.operators = append(h.operators, gone)
	code, out, _ = h.run(Settings{Status: &StatusCommand{}})
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, gone)
	code, out, err := h.run(Settings{Burn: &BurnCommand{JSON: true}})
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, gone)
	require.Empty(t, err)
	code, _, err = h.run(Settings{Why: &WhyCommand{Task: "j/2"}})
	require.Equal(t, ExitFailure, code)
	require.Contains(t, err, gone)
}

// Guards against input that takes unlimited memory or is accepted as an empty file.
func TestCheckOfBadInput(t *testing.T) {
	type scenario struct {
		name, input, want string
	}
	for _, s := range []scenario{
		{"binary", "\x7fELF\x02\x01\x01\x00\xff\xfe", "-:error: 1:9: the file is not text"},
		{"10 MB", strings.Repeat("# long\n", 10<<20/7), "the file is too long"},
		{"100,000 lines", strings.Repeat("drain vm=a\n", 100_000)[:1<<20], "problems are not shown"},
	} {
		t.Run(s.name, func(t *testing.T) {
			h := newHarness(t)
			h.input = s.input
			code, _, err := h.run(Settings{Check: &CheckCommand{File: "-"}})
			require.Equal(t, ExitUsage, code)
			require.Contains(t, err, s.want)
		})
	}
	code, _, _ := newHarness(t).run(Settings{Check: &CheckCommand{File: "/nonexistent"}})
	require.Equal(t, ExitFailure, code)
}

// Guards against invalid settings that are detected only after the command has had an effect.
func TestSettingsNameFlagValueAndWhatIsAllowed(t *testing.T) {
	s := DefaultSettings()
	require.NoError(t, s.Operators.UnmarshalText([]byte("10.0.0.5:7300, localhost:7300,10.0.0.5:7300")))
	s.Timeout = -time.Second
	s.LogService = "10.0.0.9"
	s.Publish = &PublishCommand{File: "-"}
	err := s.Validate()
	require.ErrorContains(t, err, `--timeout="-1s": want a time above 0 and up to 1h`)
	require.ErrorContains(t, err, `--log-service="10.0.0.9": want a base URL`)
	require.ErrorContains(t, err, `--operators="localhost:7300": "localhost" is not an IP number`)
	require.ErrorContains(t, err, `--operators="10.0.0.5:7300": is given twice`)
	require.ErrorContains(t, err, "--key: is empty")
	require.ErrorContains(t, err, "--by: is empty")
}
