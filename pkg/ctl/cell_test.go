package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveMetrics serves a metrics page and returns the address of its server.
func serveMetrics(t *testing.T, page string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, page) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a report that counts only the current leader, or that omits a node that does not answer.
func TestCellAddsUpAllNodes(t *testing.T) {
	first := serveMetrics(t, `oleander_cell_leads 1
oleander_cell_jobs_total{queue="a",result="intime"} 6
oleander_cell_jobs_total{queue="a",result="missed"} 1
oleander_cell_lasting_seconds_total{queue="b",result="asked"} 100
oleander_cell_lasting_seconds_total{queue="b",result="served"} 90
`)
	second := serveMetrics(t, `oleander_cell_leads 0
oleander_cell_jobs_total{queue="a",result="intime"} 3
`)
	var out, errs bytes.Buffer
	s := Settings{Timeout: time.Second, Cell: &CellCommand{Nodes: AddressList{first, second, "127.0.0.1:1"}, Target: 0.95}}
	require.NoError(t, s.Validate())
	code := New(s, WithStreams(nil, &out, &errs)).Run(context.Background())
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errs.String(), "127.0.0.1:1")
	require.Contains(t, out.String(), "a: 10 jobs, 90.0% in time, 0 late, 1 missed, burn rate 2.00")
	require.Contains(t, out.String(), "b: 100 s of long-running tasks, 90.0% at work within target, burn rate 2.00")
	require.Equal(t, 1, strings.Count(out.String(), "true"))
}

// Guards against accepting invalid arguments, which would lead to meaningless results.
func TestCellChecksItsArguments(t *testing.T) {
	type scenario struct {
		command CellCommand
		want    string
	}
	for _, s := range []scenario{
		{CellCommand{Target: 0.9}, "--nodes: is empty"},
		{CellCommand{Nodes: AddressList{"localhost:1"}, Target: 0.9}, "not an IP number"},
		{CellCommand{Nodes: AddressList{"127.0.0.1:1"}, Target: 1}, "--target=1"},
	} {
		settings := Settings{Timeout: time.Second, Cell: &s.command}
		require.ErrorContains(t, settings.Validate(), s.want)
	}
}

// Guards against an operator who is not told that a failure domain is out of service, which nodes do not know it, and what waits for it.
func TestCellNamesDomainsOutOfService(t *testing.T) {
	leader := serveMetrics(t, `oleander_cell_leads 1
oleander_cell_domain_out{domain="north"} 1
oleander_cell_domain_waiting_tasks 7
`)
	follower := serveMetrics(t, `oleander_cell_leads 0
oleander_cell_domain_out{domain="north"} 1
oleander_cell_domain_out{domain="south"} 1
`)
	var out, errs bytes.Buffer
	s := Settings{Timeout: time.Second, Cell: &CellCommand{Nodes: AddressList{leader, follower}, Target: 0.95}}
	require.Equal(t, ExitOK, New(s, WithStreams(nil, &out, &errs)).Run(context.Background()))
	require.Contains(t, out.String(), "failure domain north: out of service, known to 2 of 2 nodes\n")
	require.Contains(t, out.String(), "failure domain south: out of service, known to 1 of 2 nodes\n")
	require.Contains(t, out.String(), "7 tasks wait for failure domains out of service")
}
