package eventloop

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// Guards against a full mailbox, on which the library busy-waits, and against lost or reordered messages.
func TestPostRejectsWhenFullAndKeepsOrder(t *testing.T) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	const limit = 8
	release := make(chan struct{})
	var got []int
	l := New(c.Actors(), limit, func(message any) {
		<-release
		got = append(got, message.(int))
	})
	accepted := 0
	for i := range 3 * limit {
		if l.Post(i) {
			accepted++
		}
	}
	require.Equal(t, limit, accepted)
	require.Equal(t, limit, l.Pending())
	close(release)
	require.NoError(t, l.Stop())
	require.Equal(t, []int{0, 1, 2, 3, 4, 5, 6, 7}, got)
	require.Zero(t, l.Pending())
}

// Guards against an event loop that continues after a panic with half-changed state, and against a panic that never releases its
// admission slot.
func TestPanicEndsTheLoop(t *testing.T) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	crashed := make(chan any, 2)
	var handled []int
	l := New(c.Actors(), 2, func(message any) {
		handled = append(handled, message.(int))
		if message.(int) == 0 {
			panic("message 0")
		}
	}, WithPanicHandler(func(reason any) { crashed <- reason }))
	require.True(t, l.Post(0))
	require.ErrorContains(t, (<-crashed).(error), "message 0")
	require.Eventually(t, func() bool { return l.Pending() == 0 }, time.Minute, time.Millisecond)
	require.True(t, l.Post(1))
	require.NoError(t, l.Stop())
	require.Equal(t, []int{0}, handled)
	require.Empty(t, crashed)
}
