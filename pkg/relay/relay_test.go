package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/peer"
)

const testKey = "0123456789abcdef"

// backend is a Backend that returns fixed errors.
type backend struct {
	store, state error
	age          time.Duration // of the evacuation requests
	stored       []oleanderline.KeyedRecord
	slow         time.Duration
}

func (b *backend) StoreHere(_ context.Context, rec oleanderline.KeyedRecord) error {
	b.stored = append(b.stored, rec)
	return b.store
}

func (b *backend) AppendHere(ctx context.Context, rec oleanderline.KeyedRecord) error {
	return b.StoreHere(ctx, rec)
}

func (b *backend) ObserveSlow(answer time.Duration) { b.slow = answer }

func (b *backend) StateHere(oleanderline.JobID) (oleanderline.JobState, error) {
	return oleanderline.JobRunning, b.state
}

func (b *backend) EvacuationsHere() (evacuation.Snapshot, time.Duration, error) {
	return evacuation.Snapshot{Out: map[oleanderline.DomainID]oleanderline.Offset{"a": 3}, Next: 4}, b.age, b.state
}

func serve(t *testing.T, b Backend) string {
	t.Helper()
	c := common.New("test", common.WithLogger(common.NewLogger(io.Discard, logrus.PanicLevel)))
	server := peer.NewServer(c, testKey)
	require.NoError(t, Register(server, b))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return listener.Addr().String()
}

func newTestClient(t *testing.T, addresses ...string) *Client {
	t.Helper()
	pool := peer.NewPool()
	pool.SetKey(testKey)
	t.Cleanup(pool.Close)
	return NewClient(func() []string { return append([]string(nil), addresses...) }, pool)
}

// Guards against a result that is changed by the relay: "not stored" must remain distinct from "maybe stored".
func TestOutcomesKeepTheirMeaning(t *testing.T) {
	type scenario struct {
		name string
		err  error
	}
	for _, s := range []scenario{
		{"stored", nil},
		{"not stored", oleanderline.ErrUnavailable},
		{"maybe stored", oleanderline.ErrUncertain},
		{"unknown job", oleanderline.ErrUnknownJob},
		{"not ready", oleanderline.ErrNotReady},
		{"not in time", ErrNotInTime},
	} {
		t.Run(s.name, func(t *testing.T) {
			b := &backend{store: s.err, state: s.err}
			address := serve(t, b)
			client := newTestClient(t, address)
			rec := oleanderline.KeyedRecord{Key: "k", Value: []byte("v")}
			require.ErrorIs(t, client.Store(context.Background(), rec), s.err)
			require.ErrorIs(t, client.Append(context.Background(), address, AppendRequest{Record: rec, Wait: time.Second}), s.err)
			require.Equal(t, []oleanderline.KeyedRecord{rec, rec}, b.stored)
			_, err := client.State(context.Background(), "id")
			require.ErrorIs(t, err, s.err)
		})
	}
}

// Guards against a caller that gets "not stored" because the last of two peers refused, although the first one may have stored
// the record.
func TestUncertainOutcomeIsKept(t *testing.T) {
	uncertain := serve(t, &backend{store: oleanderline.ErrUncertain})
	unavailable := serve(t, &backend{store: oleanderline.ErrUnavailable})
	client := newTestClient(t, uncertain, unavailable)
	require.ErrorIs(t, client.Store(context.Background(), oleanderline.KeyedRecord{Key: "k"}), oleanderline.ErrUncertain)
}

// Guards against an error other than "not stored" if there is no peer, or no key to authenticate with.
func TestWithoutPeersNothingIsStored(t *testing.T) {
	client := NewClient(func() []string { return nil }, peer.NewPool())
	require.ErrorIs(t, client.Store(context.Background(), oleanderline.KeyedRecord{Key: "k"}), oleanderline.ErrUnavailable)
	withoutKey := NewClient(func() []string { return []string{"127.0.0.1:1"} }, peer.NewPool())
	require.ErrorIs(t, withoutKey.Store(context.Background(), oleanderline.KeyedRecord{Key: "k"}), oleanderline.ErrUnavailable)
}

// Guards against a panic when a peer of a newer version returns an unknown outcome. Such an answer leaves open whether the call
// took effect.
func TestUnknownOutcomeIsUncertain(t *testing.T) {
	require.ErrorIs(t, Outcome(99).err(), oleanderline.ErrUncertain)
	require.ErrorIs(t, Outcome(-1).err(), oleanderline.ErrUncertain)
}

// Guards against a list of evacuation requests that a peer has read too long ago, or not at all, so that it may lack one.
func TestEvacuationsOfAPeer(t *testing.T) {
	type scenario struct {
		name  string
		age   time.Duration
		state error
		want  error
	}
	for _, s := range []scenario{
		{"recent", time.Second, nil, nil},
		{"old", 3 * time.Second, nil, oleanderline.ErrNotReady},
		{"none", 0, oleanderline.ErrNotReady, oleanderline.ErrNotReady},
	} {
		t.Run(s.name, func(t *testing.T) {
			client := newTestClient(t, serve(t, &backend{age: s.age, state: s.state}))
			requests, age, err := client.Evacuations(context.Background(), 2*time.Second)
			require.ErrorIs(t, err, s.want)
			if s.want == nil {
				require.Equal(t, s.age, age)
				require.Equal(t, evacuation.Snapshot{Out: map[oleanderline.DomainID]oleanderline.Offset{"a": 3}, Next: 4}, requests)
			}
		})
	}
}

// Guards against a notice of a slow log that does not arrive.
func TestSlowNotice(t *testing.T) {
	b := &backend{}
	address := serve(t, b)
	require.NoError(t, newTestClient(t, address).Slow(t.Context(), address, SlowNotice{Answer: time.Second}))
	require.Equal(t, time.Second, b.slow)
}
