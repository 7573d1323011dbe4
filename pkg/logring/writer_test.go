package logring

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// blockedOutput blocks all writes until release is closed.
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

// counts returns the number of lines written, and the number that the notices report as dropped.
func (o *blockedOutput) counts(t *testing.T) (written, dropped int) {
	for _, line := range strings.Split(strings.TrimSpace(o.text()), "\n") {
		var n int
		if _, err := fmt.Sscanf(line, "dropped %d", &n); err == nil {
			dropped += n
			continue
		}
		require.Equal(t, "line", line)
		written++
	}
	return written, dropped
}

// Guards against a process that hangs because nothing reads its standard output, and against lines that are lost without being
// counted, whenever the goroutine that writes them out is scheduled.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	type scenario struct {
		name  string
		waits bool // let the goroutine run after each line
	}
	for _, s := range []scenario{{"goroutine runs at any time", false}, {"goroutine runs after each line", true}} {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &blockedOutput{release: make(chan struct{})}
				w := New(out, common.NewSystemClock(), 1<<20, notice)
				defer close(w.lines) // ends the goroutine
				const lines = 3 * bufferLines
				for range lines {
					n, err := w.Write([]byte("line\n"))
					require.NoError(t, err)
					require.Equal(t, 5, n)
					if s.waits {
						synctest.Wait()
					}
				}
				close(out.release)
				synctest.Wait()
				written, dropped := out.counts(t)
				require.Equal(t, lines, written+dropped)
				require.GreaterOrEqual(t, dropped, lines-bufferLines-1)
				require.Zero(t, w.Dropped())
			})
		})
	}
}

// Guards against a flood of info lines that causes lines about refusals and losses to be dropped.
func TestInfoLinesAreDroppedFirst(t *testing.T) {
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
