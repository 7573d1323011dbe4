package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderline/oleanderline/pkg/minion"
)

// Guards against a total of the entries' connection limits that exceeds what a minion accepts while new own VMs join that
// their peers do not count yet.
func TestConnectionLimitLeavesRoomForNewMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, maxMinionConnections-reservedMembers).Draw(t, "members")
		sum := members*connectionLimit(members, true) + reservedMembers*connectionLimit(members+reservedMembers, false)
		require.LessOrEqual(t, sum, maxMinionConnections)
		require.Positive(t, connectionLimit(members, true))
	})
}

// Guards against more than 64 connections to a minion while every own VM is replaced by a new one with the same id.
func TestConnectionsWhileOwnVMsAreReplaced(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("limit disabled %t", disabled), func(t *testing.T) {
			gate := make(chan struct{})
			c := newCluster(t, func(cfg *config) { cfg.disabled.connectionLimit = disabled })
			var mu sync.Mutex
			open, peak := 0, 0
			var holding atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/hold" {
					holding.Add(1)
					<-gate
				}
			}))
			server.Config.ConnState = countConnections(&mu, &open, &peak)
			server.Start()
			t.Cleanup(server.Close)
			c.listMinion("m-1", server.Listener.Addr().String())
			old := c.addEntries("own-1", "own-2", "own-3", "own-4", "own-5")
			var requests sync.WaitGroup
			for _, d := range old {
				require.Eventually(t, func() bool { return d.minions.currentLimit() > 1 }, waitTimeout, pollInterval)
				openConnections(t, &requests, &holding, d)
			}
			var replacements []*Daemon
			for i := range old {
				d := c.addEntry(old[i].settings.ID)
				waitReady(t, d)
				openConnections(t, &requests, &holding, d)
				replacements = append(replacements, d)
			}
			close(gate)
			requests.Wait()
			for _, d := range replacements {
				require.Eventually(t, func() bool { return disabled || d.minions.currentLimit() == connectionLimit(10, true) }, waitTimeout, pollInterval)
			}
			mu.Lock()
			defer mu.Unlock()
			if disabled {
				require.Greater(t, peak, maxMinionConnections, "without the limit, the test must exceed the maximum")
				return
			}
			require.LessOrEqual(t, peak, maxMinionConnections)
			require.GreaterOrEqual(t, peak, 5*connectionLimit(5, true)+5, "the test must reach the limits")
		})
	}
}

func countConnections(mu *sync.Mutex, open, peak *int) func(conn net.Conn, state http.ConnState) {
	return func(_ net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		switch state {
		case http.StateNew:
			*open++
			*peak = max(*peak, *open)
		case http.StateClosed, http.StateHijacked:
			*open--
		}
	}
}

// openConnections opens as many connections as the entry may have, with requests that last until the gate channel is
// closed.
func openConnections(t *testing.T, requests *sync.WaitGroup, holding *atomic.Int64, d *Daemon) {
	limit := d.minions.currentLimit()
	want := holding.Load() + int64(limit)
	for range limit {
		requests.Go(func() {
			request := &minion.Request{
				Method: http.MethodGet, URL: &url.URL{Path: "/hold"}, Host: "h", Header: http.Header{}, Idempotent: true,
			}
			if answer, err := d.minions.get("m-1").Send(context.Background(), request); err == nil {
				answer.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return holding.Load() >= want }, waitTimeout, pollInterval)
}
