// Package agentrpc implements the calls between a leader and its agents over net/rpc.
package agentrpc

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/agent"
	"github.com/oleanderline/oleanderline/pkg/peer"
)

const (
	serviceName = "Agents"
	// callTimeout bounds a call. A pull is answered within 0.2 s unless the leader is stalled.
	callTimeout = 2 * time.Second
)

// Backend handles the calls of leaders and agents in a process.
type Backend interface {
	Invite(invitation agent.Invitation) error
	Pull(ctx context.Context, request agent.PullRequest) agent.PullReply
	Push(request agent.PushRequest) agent.PushReply
}

// Service is the net/rpc service for the calls of leaders and agents.
type Service struct{ backend Backend }

// InviteReply answers an invitation.
type InviteReply struct{ Accepted bool }

// Invite handles an invitation from a leader to serve workers.
func (s *Service) Invite(invitation agent.Invitation, reply *InviteReply) error {
	reply.Accepted = s.backend.Invite(invitation) == nil
	return nil
}

// Pull handles a request for items from an agent that serves workers for this process.
func (s *Service) Pull(request agent.PullRequest, reply *agent.PullReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = s.backend.Pull(ctx, request)
	return nil
}

// Push handles a batch of events from an agent that serves workers for this process.
func (s *Service) Push(request agent.PushRequest, reply *agent.PushReply) error {
	*reply = s.backend.Push(request)
	return nil
}

// Register registers the service for a backend on a server.
func Register(server *peer.Server, backend Backend) error {
	return server.Register(serviceName, &Service{backend: backend})
}

// Client calls leaders and agents by their addresses.
type Client struct{ pool *peer.Pool }

var _ agent.LeaderClient = (*Client)(nil)

// NewClient returns a client that uses the connections of a pool.
func NewClient(pool *peer.Pool) *Client { return &Client{pool: pool} }

// Invite invites the process at address to serve workers. It fails if the process refuses.
func (c *Client) Invite(ctx context.Context, address string, invitation agent.Invitation) error {
	var reply InviteReply
	if err := c.call(ctx, address, "Invite", invitation, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.New("invitation refused")
	}
	return nil
}

// Pull implements agent.LeaderClient.
func (c *Client) Pull(ctx context.Context, address string, request agent.PullRequest) (reply agent.PullReply, err error) {
	err = c.call(ctx, address, "Pull", request, &reply)
	return reply, err
}

// Push implements agent.LeaderClient.
func (c *Client) Push(ctx context.Context, address string, request agent.PushRequest) (reply agent.PushReply, err error) {
	err = c.call(ctx, address, "Push", request, &reply)
	return reply, err
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	conn := c.pool.Client(address)
	if conn == nil {
		return oleanderline.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return conn.Call(ctx, serviceName+"."+method, args, reply)
}
