package rules

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/logservice"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// changesPerDay is the number of changes per day for which the system is designed.
const changesPerDay = 4300

var ruleCounts = []int{100, 1000, 10_000}

// makeRulesFile returns a file with n rules of five verbs. The values of the rule in the middle depend on version.
func makeRulesFile(n, version int) string {
	var b strings.Builder
	for i := range n {
		v := 0
		if i == n/2 {
			v = version
		}
		switch i % 5 {
		case 0:
			fmt.Fprintf(&b, "drain vm=w-%d at=2026-12-%02dT03:00Z   # kernel update %d, platform team\n", i, 1+v%28, v)
		case 1:
			fmt.Fprintf(&b, "quota team=team-%d cpu=%d mem=64GB acc=2   # depot planning %d\n", i, 1+v, v)
		case 2:
			fmt.Fprintf(&b, "slo service=service-%d latency=%dms target=99.9%%   # front office %d\n", i, 80+v, v)
		case 3:
			fmt.Fprintf(&b, "hold cpu=20%% vm=w-%d from=Fri/18:00 until=Sat/02:00 zone=Europe/Stockholm   # gala %d\n", i, v)
		default:
			fmt.Fprintf(&b, "class name=c-%d service=service-%d path=/p/%d priority=high   # front office %d\n", i, i, i, v)
		}
	}
	return b.String()
}

// Measures parsing, which every daemon does for every revision.
func BenchmarkParse(b *testing.B) {
	for _, n := range ruleCounts {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			text := makeRulesFile(n, 1)
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, report := Parse(text); !report.OK() {
					b.Fatal(report.Errors[0])
				}
			}
		})
	}
}

// Measures Check, which compares the rules with each other.
func BenchmarkCheck(b *testing.B) {
	for _, n := range ruleCounts {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			text := makeRulesFile(n, 1)
			for b.Loop() {
				Check(text, testStart)
			}
		})
	}
}

// Measures Diff, which oleanderctl uses.
func BenchmarkDiff(b *testing.B) {
	for _, n := range ruleCounts {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			from, to := makeRulesFile(n, 1), makeRulesFile(n, 2)
			for b.Loop() {
				if len(Diff(from, to)) != 1 {
					b.Fatal("the files differ in one rule")
				}
			}
		})
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &l.bytes}, nil
}

// Measures the bytes and the time of one daemon for one change and for one poll, over HTTP on a loopback address, and
// derives the load of a day with 4,300 changes and a poll each second.
func BenchmarkFollow(b *testing.B) {
	for _, n := range ruleCounts {
		for _, mode := range []string{"whole", "edits"} {
			b.Run(fmt.Sprintf("rules=%d/%s", n, mode), func(b *testing.B) { benchmarkFollow(b, n, mode == "edits") })
		}
	}
}

func benchmarkFollow(b *testing.B, n int, edits bool) {
	clock := &instantClock{now: testStart}
	log := standin.NewLog(clock, standin.WithKeepCount(2*fullTextEvery))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	counted := &countingListener{Listener: listener}
	server := &httptest.Server{Listener: counted, Config: &http.Server{Handler: log.Handler()}}
	server.Start()
	defer server.Close()
	client := logservice.NewClient(server.URL)
	defer client.Close()
	ctx := context.Background()

	publisher := NewPublisher(testCommon(clock), log)
	publisher.minTextForEdits = 0
	if !edits {
		publisher.fullTextEvery = 0
	}
	follower := NewFollower(testCommon(clock), client)
	version, revision := 0, oleanderline.Revision(0)
	publish := func() {
		version++
		receipt, err := publisher.Publish(ctx, Request{ID: fmt.Sprint(version), Base: revision, By: "ana", Text: makeRulesFile(n, version)})
		require.NoError(b, err)
		revision = receipt.Revision
	}
	publish()
	follower.Step(ctx)
	var changes, polls int64
	var changeTime, pollTime time.Duration
	for b.Loop() {
		b.StopTimer()
		publish()
		b.StartTimer()
		before, begin := counted.bytes.Load(), time.Now()
		follower.Step(ctx)
		changeTime += time.Since(begin)
		changes += counted.bytes.Load() - before
		before, begin = counted.bytes.Load(), time.Now()
		follower.Step(ctx)
		pollTime += time.Since(begin)
		polls += counted.bytes.Load() - before
	}
	require.Equal(b, revision, follower.Current().Revision)
	const daySeconds = 24 * 60 * 60
	change, poll := float64(changes)/float64(b.N), float64(polls)/float64(b.N)
	b.ReportMetric(change, "B/change")
	b.ReportMetric(poll, "B/poll")
	b.ReportMetric((change*changesPerDay/daySeconds+poll)/1000, "kB/s")
	seconds := changeTime.Seconds()/float64(b.N)*changesPerDay/daySeconds + pollTime.Seconds()/float64(b.N)
	b.ReportMetric(seconds*100, "%core")
}

// Measures the start of a process without peers, or of a publish, when the stream holds the changes of one day.
func BenchmarkStart(b *testing.B) {
	for _, n := range ruleCounts {
		b.Run(fmt.Sprintf("rules=%d", n), func(b *testing.B) {
			log := logWithDayOfChanges(b, n)
			for b.Loop() {
				follower := NewFollower(testCommon(&instantClock{now: testStart}), log)
				follower.Step(b.Context())
				require.Equal(b, oleanderline.Revision(changesPerDay), follower.Current().Revision)
			}
		})
	}
}

// logWithDayOfChanges returns a log with the changes of one day to a file with n rules.
func logWithDayOfChanges(b *testing.B, n int) *fakeLog {
	log := newFakeLog()
	text := makeRulesFile(n, 0)
	rows := splitLines(text)
	for i := range changesPerDay {
		e := Entry{ID: fmt.Sprint(i), Base: oleanderline.Revision(i), By: "ana"}
		rows[n/2] = fmt.Sprintf("quota team=t cpu=%d # changed\n", i+1)
		text = strings.Join(rows, "")
		if i%fullTextEvery == 0 {
			e.Text = text
		} else {
			e.Sum, e.Edit = checksum(text), []Edit{{At: n / 2, Remove: 1, Insert: rows[n/2]}}
		}
		mustAppend(b, log, e)
	}
	return log
}
