package cellfake

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/agentrpc"
	"github.com/oleanderline/oleanderline/pkg/evacuation"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

// Peer is the backend of the calls between processes.
type Peer interface {
	agentrpc.Backend
	relay.Backend
}

// PeerClient sends the calls of one process to other processes over a path.
type PeerClient struct {
	Path *Path
	// Find returns the backend of the process at an address, or nil if there is none.
	Find func(address string) Peer
}

// Append has the process at an address store a record.
func (a *PeerClient) Append(ctx context.Context, address string, request relay.AppendRequest) error {
	_, err := callPeer(ctx, a, address, func(_ context.Context, peer Peer) (struct{}, error) {
		ctx, cancel := context.WithTimeout(context.Background(), request.Wait)
		defer cancel()
		return struct{}{}, peer.AppendHere(ctx, request.Record)
	})
	return err
}

// Slow tells the process at an address of a slow log.
func (a *PeerClient) Slow(ctx context.Context, address string, notice relay.SlowNotice) error {
	_, err := callPeer(ctx, a, address, func(_ context.Context, peer Peer) (struct{}, error) {
		peer.ObserveSlow(notice.Answer)
		return struct{}{}, nil
	})
	return err
}

// Invite sends an invitation to the process at address.
func (a *PeerClient) Invite(ctx context.Context, address string, invitation agent.Invitation) error {
	_, err := callPeer(ctx, a, address, func(_ context.Context, peer Peer) (struct{}, error) {
		return struct{}{}, peer.Invite(invitation)
	})
	return err
}

// Pull implements agent.LeaderClient.
func (a *PeerClient) Pull(ctx context.Context, address string, request agent.PullRequest) (agent.PullReply, error) {
	return callPeer(ctx, a, address, func(ctx context.Context, peer Peer) (agent.PullReply, error) {
		return peer.Pull(ctx, request), nil
	})
}

// Push implements agent.LeaderClient.
func (a *PeerClient) Push(ctx context.Context, address string, request agent.PushRequest) (agent.PushReply, error) {
	return callPeer(ctx, a, address, func(_ context.Context, peer Peer) (agent.PushReply, error) {
		return peer.Push(request), nil
	})
}

// Evacuations asks the process at address for the evacuation requests that it has read.
func (a *PeerClient) Evacuations(ctx context.Context, address string) (evacuation.Snapshot, time.Duration, error) {
	type reply struct {
		requests evacuation.Snapshot
		age      time.Duration
	}
	got, err := callPeer(ctx, a, address, func(_ context.Context, peer Peer) (reply, error) {
		requests, age, err := peer.EvacuationsHere()
		return reply{requests, age}, err
	})
	return got.requests, got.age, err
}

// callPeer makes a call to the process at address.
func callPeer[T any](ctx context.Context, a *PeerClient, address string, call func(context.Context, Peer) (T, error)) (T, error) {
	return callOver(ctx, a.Path, func(ctx context.Context) (T, error) {
		var zero T
		peer := a.Find(address)
		if peer == nil {
			return zero, oleanderline.ErrUnavailable
		}
		return call(ctx, peer)
	})
}
