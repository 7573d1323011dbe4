package common

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that exits at a restart because its port is temporarily used by another connection.
func TestListenWaitsForAPortThatIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := taken.Addr().String()
	time.AfterFunc(3*listenRetryInterval, func() { _ = taken.Close() }) // if Close fails, Listen below times out
	listener, err := Listen(context.Background(), NewSystemClock(), address)
	require.NoError(t, err)
	require.Equal(t, address, listener.Addr().String())
	require.NoError(t, listener.Close())
}

// Guards against a planned stop being delayed by a Listen that waits for its port.
func TestListenEndsWithItsContext(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), listenRetryInterval)
	defer cancel()
	_, err = Listen(ctx, NewSystemClock(), taken.Addr().String())
	require.Error(t, err)
}
