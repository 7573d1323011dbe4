package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/standin"
)

// Guards against idempotent requests that wait for an answer on a connection that no longer delivers data, while new
// connections to the minions work.
func TestSilentConnectionsAreHedged(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("hedging disabled %t", disabled), func(t *testing.T) {
			c := newCluster(t, func(cfg *config) { cfg.disabled.hedging = disabled })
			minions := make([]*standin.Minion, 2)
			for i := range minions {
				id := oleanderline.MinionID(fmt.Sprintf("m-%d", i))
				minions[i] = standin.NewMinion(id, common.NewSystemClock(), rand.New(rand.NewPCG(1, uint64(i))))
				require.NoError(t, minions[i].Listen("127.0.0.1:0"))
				t.Cleanup(minions[i].Crash)
				c.listMinion(string(id), minions[i].Address())
			}
			d := c.addEntries("own-1")[0]
			for len(minions[0].Runs()) == 0 || len(minions[1].Runs()) == 0 {
				r := send(d, http.MethodGet, "/", "", withHeader("Oleander-Request", "warm"))
				requireOutcome(t, r, http.StatusOK, oleanderline.ResultAnswered, "")
			}
			require.Positive(t, minions[0].Silence())
			require.Positive(t, minions[1].Silence())
			if disabled {
				r := send(d, http.MethodGet, "/", "", withHeader("Oleander-Timeout", "400ms"))
				requireOutcome(t, r, http.StatusGatewayTimeout, oleanderline.ResultUnknown, "timeout")
				return
			}
			r := send(d, http.MethodGet, "/?size=1000", "", withHeader("Oleander-Request", "id-1"))
			requireOutcome(t, r, http.StatusOK, oleanderline.ResultAnswered, "")
			want, err := io.ReadAll(standin.Content("id-1", 1000))
			require.NoError(t, err)
			require.Equal(t, string(want), r.body)
		})
	}
}

// Guards against truncated answers that the caller takes for complete short ones.
func TestTruncatedAnswersAreErrors(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, answer)
				_ = conn.Close()
			}
		}()
		c := newCluster(t)
		c.listMinion("m-1", listener.Addr().String())
		d := c.addEntries("own-1")[0]
		for _, header := range [][]requestOption{nil, {withKey("k")}} {
			r := send(d, http.MethodPost, "/", "", header...)
			require.Error(t, r.err, "status %d body %q", r.status, r.body)
		}
		requireOutcome(t, send(d, http.MethodPost, "/", "", withKey("k")), http.StatusConflict, oleanderline.ResultUnknown, "key-result-unknown")
	}
}

// Guards against new requests to a minion that is leaving according to the VM list or its own answers, and against a
// failed request when the minion refuses it for that reason.
func TestLeavingMinionGetsNoNewRequests(t *testing.T) {
	for _, byList := range []bool{true, false} {
		t.Run(fmt.Sprintf("reported by the VM list %t", byList), func(t *testing.T) {
			var leaving atomic.Bool
			var refused, accepted atomic.Int64
			c := newCluster(t)
			c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == probePath && leaving.Load():
					w.Header().Set("Oleander-Leaving", "1")
				case leaving.Load():
					refused.Add(1)
					w.Header().Set("Oleander-Leaving", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					accepted.Add(1)
				}
			})
			c.addMinion("m-2", func(http.ResponseWriter, *http.Request) {})
			d := c.addEntries("own-1")[0]
			for accepted.Load() == 0 {
				requireOutcome(t, send(d, http.MethodPost, "/", "x"), http.StatusOK, oleanderline.ResultAnswered, "")
			}
			before := accepted.Load()
			if byList {
				c.vms.update(func(rows []oleanderline.VM) []oleanderline.VM {
					rows[0].State = oleanderline.VMLeaving
					return rows
				})
				// The first of these reads may have begun before the change. The last begins after the second was applied.
				for range 3 {
					read := d.poller.lastRead.Load()
					require.Eventually(t, func() bool { return d.poller.lastRead.Load() != read }, waitTimeout, pollInterval)
				}
			} else {
				leaving.Store(true)
			}
			for range 40 {
				requireOutcome(t, send(d, http.MethodPost, "/", "x"), http.StatusOK, oleanderline.ResultAnswered, "")
			}
			require.Equal(t, before, accepted.Load())
			require.LessOrEqual(t, refused.Load(), int64(1), "the entry must not send another request after the first refusal")
		})
	}
}
