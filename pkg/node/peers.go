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

// servePeers learns the key that all processes of the cell share, and serves and calls peers with it.
func (n *Node) servePeers() {
	if n.settings.PeerAddress == "" || n.ports.Agents != nil {
		return
	}
	key, err := n.sharedKey()
	if err != nil {
		return // the process stops
	}
	server := peer.NewServer(n.common, key)
	if err := errors.Join(relay.Register(server, n), agentrpc.Register(server, n)); err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("peers are not served")
		return
	}
	listener, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("peers are not served")
		return
	}
	n.peers.SetKey(key)
	n.duties.Go(func() {
		<-n.ctx.Done()
		if err := server.Close(); err != nil {
			n.common.Log.WithError(err).Warn("the listener for peers did not close")
		}
		n.peers.Close()
	})
	if err := server.Serve(listener); err != nil {
		n.common.Event(common.EventPeersUnserved).WithError(err).Error("peers are not served any more")
	}
}

// sharedKey reads the key, or stores a random one if there is none: the first that is stored counts.
func (n *Node) sharedKey() (string, error) {
	for n.ctx.Err() == nil {
		batch, err := n.ports.Log.Newest(n.ctx, record.StreamKeys)
		if err == nil && len(batch.Records) > 0 {
			return string(batch.Records[0].Value), nil
		}
		if err == nil {
			condition := oleanderline.AppendCondition{AtEnd: true, End: batch.End}
			_, err = n.ports.Log.Append(n.ctx, record.StreamKeys, []oleanderline.KeyedRecord{record.ForKey(rand.Text())}, condition)
		}
		if err != nil && !errors.Is(err, oleanderline.ErrMoved) {
			n.sleep(introduceRetry)
		}
	}
	return "", n.ctx.Err()
}

// store stores a record over the own path, or through a peer if that fails.
func (n *Node) store(ctx context.Context, rec oleanderline.KeyedRecord) error {
	began := n.common.Clock.Now()
	err := n.storeAnywhere(ctx, rec)
	n.metrics.storeTime.Update(n.common.Clock.Now().Sub(began).Seconds())
	n.metrics.storeEnded(err)
	return err
}

func (n *Node) storeAnywhere(ctx context.Context, rec oleanderline.KeyedRecord) error {
	err := n.intake.store(ctx, rec)
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.metrics.relayed.Inc()
	relayed := n.relay.Store(ctx, rec)
	if relayed != nil && errors.Is(err, oleanderline.ErrUncertain) {
		return err
	}
	return relayed
}

// StoreHere implements relay.Backend.
func (n *Node) StoreHere(ctx context.Context, rec oleanderline.KeyedRecord) error {
	return n.intake.store(ctx, rec)
}

// StateHere implements relay.Backend.
func (n *Node) StateHere(id oleanderline.JobID) (oleanderline.JobState, error) {
	age, loaded := n.replica.Age(n.common.Clock.Now())
	if !loaded || age > staleRead {
		return 0, oleanderline.ErrNotReady
	}
	entry, ok := n.replica.Job(id)
	if !ok {
		return 0, oleanderline.ErrUnknownJob
	}
	return entry.State(), nil
}

// Invite implements agentrpc.Backend. A leader older than the newest that this process has read is refused.
func (n *Node) Invite(invitation agent.Invitation) error {
	if n.stopping.Load() || invitation.Term < n.replica.Leader().Term {
		return agent.ErrOldInvitation
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
