package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Guards against requests that are counted twice, not at all or for the wrong minion or class, and against an entry that
// does not answer operators' status calls.
func TestEntryCountsRequestsAndAnswersOperators(t *testing.T) {
	c := newCluster(t)
	c.addMinion("m-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fail" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	d := c.addEntries("own-1")[0]
	const text = "slo service=" + testService + " latency=1m target=99.9% # x\nclass name=bad service=" + testService + " path=/fail priority=low # y\n"
	data, err := rules.Entry{ID: "a", By: "ana", Text: text}.Encode()
	require.NoError(t, err)
	_, err = c.log.Append(context.Background(), rules.Stream, data)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.Rules().Current().Revision == 1 }, waitTimeout, pollInterval)

	const good = 5
	for range good {
		require.Equal(t, http.StatusOK, send(d, http.MethodPost, "/ok", "x").status)
	}
	require.Equal(t, http.StatusOK, send(d, http.MethodPost, "/ok", "x", withHeader("Idempotency-Key", "k")).status)
	require.Equal(t, http.StatusOK, send(d, http.MethodPost, "/ok", "x", withHeader("Idempotency-Key", "k")).status)
	require.Equal(t, http.StatusInternalServerError, send(d, http.MethodPost, "/fail", "x").status)

	client := operator.NewClient([]string{d.OperatorAddress()}, d.settings.Key)
	defer client.Close()
	var service burn.Service
	want := burn.Count{Good: good + 1, Bad: 1}
	require.Eventually(t, func() bool {
		answers := client.Burn(context.Background())
		require.NoError(t, answers[0].Err)
		service = answers[0].Value.Services[0]
		return service.Counts[burn.Window1h] == want
	}, waitTimeout, pollInterval, "want %v", want)
	parts := map[burn.Dimension]map[string]burn.Count{}
	for _, p := range service.Parts {
		if parts[p.Dimension] == nil {
			parts[p.Dimension] = map[string]burn.Count{}
		}
		parts[p.Dimension][p.Name] = p.Counts[burn.Window1h]
	}
	require.Equal(t, map[string]burn.Count{"m-1": want}, parts[burn.ByMinion])
	require.Equal(t, map[string]burn.Count{"(default)": {Good: good + 1}, "bad": {Bad: 1}}, parts[burn.ByClass])

	status := client.Status(context.Background())[0]
	require.NoError(t, status.Err)
	require.Equal(t, oleanderline.VMID("own-1"), status.Value.ID)
	require.Equal(t, oleanderline.Revision(1), status.Value.Rules.Revision)
	require.Equal(t, 1, status.Value.Requests.Minions)
	require.Len(t, status.Value.Members, 1)
	require.Less(t, status.Value.VMList.Age, time.Minute)
	require.GreaterOrEqual(t, status.Value.VMList.Age, time.Duration(0))
}
