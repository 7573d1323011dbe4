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

// Guards against a sum of bounds above what a minion accepts while own VMs join that are not counted yet.
func TestConnectionBoundLeavesRoomForNewcomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, minionConnections-reservedMembers).Draw(t, "members")
		sum := members*connectionBound(members, true) + reservedMembers*connectionBound(members+reservedMembers, false)
		require.LessOrEqual(t, sum, minionConnections)
		require.Positive(t, connectionBound(members, true))
	})
}

// Guards against more than 64 connections to a minion while every own VM is replaced by one of the same name.
func TestConnectionsWhileOwnVMsAreReplaced(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("switched off %t", off), func(t *testing.T) {
			gate := make(chan struct{})
			c := newCluster(t, func(p *parts) { p.switches.noBound = off })
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
			var held sync.WaitGroup
			for _, d := range old {
				require.Eventually(t, func() bool { return d.minions.currentLimit() > 1 }, waitLimit, waitStep)
				hold(t, &held, &holding, d)
			}
			var renewed []*Daemon
			for i := range old {
				d := c.addEntry(old[i].settings.ID)
				waitReady(t, d)
				hold(t, &held, &holding, d)
				renewed = append(renewed, d)
			}
			close(gate)
			held.Wait()
			for _, d := range renewed {
				require.Eventually(t, func() bool { return off || d.minions.currentLimit() == connectionBound(10, true) }, waitLimit, waitStep)
			}
			mu.Lock()
			defer mu.Unlock()
			if off {
				require.Greater(t, peak, minionConnections, "the test must see the excess")
				return
			}
			require.LessOrEqual(t, peak, minionConnections)
			require.GreaterOrEqual(t, peak, 5*connectionBound(5, true)+5, "the test must reach the bounds")
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

// hold opens as many connections as the entry may, with requests that last until the gate opens.
func hold(t *testing.T, held *sync.WaitGroup, holding *atomic.Int64, d *Daemon) {
	limit := d.minions.currentLimit()
	want := holding.Load() + int64(limit)
	for range limit {
		held.Go(func() {
			request := &minion.Request{
				Method: http.MethodGet, URL: &url.URL{Path: "/hold"}, Host: "h", Header: http.Header{}, Idempotent: true,
			}
			if answer, err := d.minions.get("m-1").Send(context.Background(), request); err == nil {
				answer.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return holding.Load() >= want }, waitLimit, waitStep)
}
