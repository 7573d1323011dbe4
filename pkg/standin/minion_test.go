package standin

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

func newTestMinion(t *testing.T, options ...MinionOption) (*Minion, func(id, query string) (*http.Response, error)) {
	t.Helper()
	m := NewMinion("m-1", common.NewSystemClock(), rand.New(rand.NewPCG(1, 2)), options...)
	require.NoError(t, m.Listen("127.0.0.1:0"))
	t.Cleanup(m.Crash)
	client := &http.Client{Transport: &http.Transport{}}
	return m, func(id, query string) (*http.Response, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		t.Cleanup(cancel)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Address()+"/?"+query, http.NoBody)
		require.NoError(t, err)
		request.Header.Set(HeaderRequest, id)
		return client.Do(request)
	}
}

// Guards against a fake that counts a refused request as run, or answers with the content of another request.
func TestMinionAnswersAndRefuses(t *testing.T) {
	m, send := newTestMinion(t, WithSlots(1))
	answer, err := send("r-1", "size=100000")
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	want, err := io.ReadAll(Content("r-1", 100_000))
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, body))

	_, err = send("r-2", "work=1h")
	require.Error(t, err, "timed out at the client while it occupies the only slot")
	answer, err = send("r-3", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.Equal(t, "1", answer.Header.Get(HeaderNotRun))
	require.Equal(t, map[string]int{"r-1": 1, "r-2": 1}, m.Runs())
	require.Equal(t, 1, m.Refused())
	require.Equal(t, 1, m.PeakBusy())
}

// Guards against an injected fault without effect, and against one that affects new connections or requests after its end.
func TestMinionFaults(t *testing.T) {
	m, send := newTestMinion(t)
	answer, err := send("r-1", "")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	require.Equal(t, 1, m.Silence())
	_, err = send("r-2", "")
	require.Error(t, err, "an open connection is silenced")
	_, err = send("r-3", "")
	require.NoError(t, err, "a new connection works")

	m.SetAborting(true)
	_, err = send("r-4", "")
	require.Error(t, err)
	m.SetAborting(false)
	m.SetLeaving(true)
	answer, err = send("r-5", "")
	require.NoError(t, err)
	require.Equal(t, "1", answer.Header.Get(HeaderLeaving))
	m.SetLeaving(false)
	m.Crash()
	_, err = send("r-6", "")
	require.Error(t, err)
	require.NoError(t, m.Listen(""))
	answer, err = send("r-7", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, map[string]int{"r-1": 1, "r-3": 1, "r-4": 1, "r-7": 1}, m.Runs())
}
