package duty

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline/pkg/common"
)

// Guards against a full mailbox, in which the library spins, and against messages lost or reordered.
func TestPostRejectsWhenFullAndKeepsOrder(t *testing.T) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	const limit = 8
	release := make(chan struct{})
	var got []int
	d := New(c.Actors(), limit, func(message any) {
		<-release
		got = append(got, message.(int))
	})
	accepted := 0
	for i := range 3 * limit {
		if d.Post(i) {
			accepted++
		}
	}
	require.Equal(t, limit, accepted)
	require.Equal(t, limit, d.Pending())
	close(release)
	require.NoError(t, d.Stop())
	require.Equal(t, []int{0, 1, 2, 3, 4, 5, 6, 7}, got)
	require.Zero(t, d.Pending())
}

// Guards against a message that panics taking an admission slot for good.
func TestPostAfterPanic(t *testing.T) {
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.InfoLevel)))
	handled := make(chan int, 2)
	d := New(c.Actors(), 1, func(message any) {
		if message.(int) == 0 {
			panic("message 0")
		}
		handled <- message.(int)
	})
	require.True(t, d.Post(0))
	for !d.Post(1) {
		continue
	}
	require.Equal(t, 1, <-handled)
	require.NoError(t, d.Stop())
}
