package common

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that ends for good because another connection has its port when it starts again.
func TestListenWaitsForAPortThatIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := taken.Addr().String()
	time.AfterFunc(3*listenRetry, func() { _ = taken.Close() }) // a failure shows below
	listener, err := Listen(context.Background(), NewSystemClock(), address)
	require.NoError(t, err)
	require.Equal(t, address, listener.Addr().String())
	require.NoError(t, listener.Close())
}

// Guards against a planned stop that waits for a port.
func TestListenEndsWithItsContext(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), listenRetry)
	defer cancel()
	_, err = Listen(ctx, NewSystemClock(), taken.Addr().String())
	require.Error(t, err)
}
