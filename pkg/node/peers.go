package node

import (
	"context"
	"crypto/rand"
	"errors"
	"net"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/agentrpc"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/relay"
)

var (
	_ relay.Backend    = (*Node)(nil)
	_ agentrpc.Backend = (*Node)(nil)
)

// servePeers gets the shared key of the cell, which authenticates calls between its processes, and serves peers until the
// node stops.
func (n *Node) servePeers() {
	if n.settings.PeerAddress == "" || n.ports.Agents != nil {
		return
	}
	key, err := n.sharedKey()
	if err != nil {
		return // the node is stopping
	}
	server := peer.NewServer(n.common, key)
	if err := errors.Join(relay.Register(server, n), agentrpc.Register(server, n)); err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("cannot serve peers; calls from and to peers fail")
		return
	}
	listener, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("cannot serve peers; calls from and to peers fail")
		return
	}
	n.peers.SetKey(key)
	n.wg.Go(func() {
		<-n.ctx.Done()
		if err := server.Close(); err != nil {
			n.common.Log.WithError(err).Warn("cannot close the peer listener")
		}
		n.peers.Close()
	})
	if err := server.Serve(listener); err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("peer server failed; peers are no longer served")
	}
}

// sharedKey reads the key of the cell. If there is none it stores a random one, on the condition that the stream is still
// empty, so that all processes use the key that was stored first.
func (n *Node) sharedKey() (string, error) {
	for n.ctx.Err() == nil {
		batch, err := n.ports.Log.Newest(n.ctx, record.StreamPeerKey)
		if err == nil && len(batch.Records) > 0 {
			return string(batch.Records[0].Value), nil
		}
		if err == nil {
			condition := oleanderline.AppendCondition{CheckEnd: true, End: batch.End}
			_, err = n.ports.Log.Append(n.ctx, record.StreamPeerKey, []oleanderline.KeyedRecord{record.ForPeerKey(rand.Text())}, condition)
		}
		if err != nil && !errors.Is(err, oleanderline.ErrEndMismatch) {
			n.sleep(registerRetry)
		}
	}
	return "", n.ctx.Err()
}

// store stores a record, directly or through another process, and counts the result.
func (n *Node) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	start := n.common.Clock.Now()
	err := n.storeByPolicy(ctx, rec)
	n.metrics.storeTime.Update(n.common.Clock.Now().Sub(start).Seconds())
	n.metrics.countStore(err)
	return err
}

// StateHere implements relay.Backend.
func (n *Node) StateHere(id oleanderline.JobID) (oleanderline.JobState, error) {
	if age, known := n.replica.Age(n.common.Clock.Now()); !known || age > staleAge {
		return 0, oleanderline.ErrNotReady
	}
	entry, ok := n.replica.Job(id)
	if !ok {
		return 0, oleanderline.ErrUnknownJob
	}
	return entry.State(), nil
}

// Invite implements agentrpc.Backend. It refuses leaders with a lower term than the newest one that this process has read.
func (n *Node) Invite(invitation agent.Invitation) error {
	if n.stopping.Load() || invitation.Term < n.replica.Leader().Term {
		return agent.ErrStaleInvitation
	}
	return n.agent.Invite(invitation)
}

// Pull implements agentrpc.Backend.
func (n *Node) Pull(ctx context.Context, request agent.PullRequest) agent.PullReply {
	if s := n.session.Load(); s != nil {
		return s.Pull(ctx, request)
	}
	return agent.PullReply{}
}

// Push implements agentrpc.Backend.
func (n *Node) Push(request agent.PushRequest) agent.PushReply {
	if s := n.session.Load(); s != nil {
		return s.Push(request)
	}
	return agent.PushReply{}
}
