package logring

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// blockedOutput lets nothing through before it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockedOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

func notice(n int64) []byte { return fmt.Appendf(nil, "dropped %d\n", n) }

// Guards against a process that stands still because nobody reads its standard output, and against lines that are lost
// without being counted.
func TestBlockedOutputCostsLinesOnly(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out, common.NewSystemClock(), 1<<20, notice)
	const lines = 3 * ringLines
	began := time.Now()
	for range lines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Less(t, time.Since(began), 5*time.Second)
	dropped := w.Dropped()
	require.GreaterOrEqual(t, dropped, int64(lines-ringLines-1))
	close(out.release)
	require.Eventually(t, func() bool {
		return bytes.Contains([]byte(out.text()), notice(dropped))
	}, 10*time.Second, time.Millisecond)
}

// Guards against a load of ordinary decisions that pushes out those that tell of a refusal or a loss.
func TestOrdinaryLinesAreDroppedFirst(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	close(out.release)
	const limit = 10
	w := New(out, common.NewSystemClock(), limit, notice)
	for range 3 * limit {
		_, err := w.Write([]byte(`{"level":"info"}` + "\n"))
		require.NoError(t, err)
	}
	_, err := w.Write([]byte(`{"level":"warning"}` + "\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return bytes.Contains([]byte(out.text()), []byte("warning")) }, 10*time.Second, time.Millisecond)
	require.Equal(t, limit, bytes.Count([]byte(out.text()), []byte("info")))
}
