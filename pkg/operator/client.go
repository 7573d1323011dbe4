package operator

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/burn"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/rules"
)

// Client calls the operator listeners of all daemons. Each address belongs to one daemon, an entry or a scheduler.
type Client struct {
	addresses []string
	clients   []*peer.Client
}

// NewClient returns a client for the operator listeners at the addresses.
func NewClient(addresses []string, key string, options ...peer.ClientOption) *Client {
	c := &Client{addresses: addresses}
	for _, address := range addresses {
		c.clients = append(c.clients, peer.NewClient(address, key, options...))
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// Answer is the answer of one daemon, or the error of the call.
type Answer[T any] struct {
	Address string
	Value   T
	Err     error
}

// Status requests the status of every daemon.
func (c *Client) Status(ctx context.Context) []Answer[Status] {
	return callAll[Status](ctx, c, "Status", Args{}, EntryService, SchedService)
}

// Rules requests the rules in force at every daemon.
func (c *Client) Rules(ctx context.Context) []Answer[rules.Snapshot] {
	return callAll[rules.Snapshot](ctx, c, "Rules", Args{}, EntryService, SchedService)
}

// Burn requests the request counts of every entry. Schedulers are left out of the result.
func (c *Client) Burn(ctx context.Context) []Answer[burn.Snapshot] {
	return withoutNotOffered(callAll[burn.Snapshot](ctx, c, "Burn", Args{}, EntryService))
}

// Why requests the state of a task from every scheduler. Entries are left out of the result.
func (c *Client) Why(ctx context.Context, task oleanderline.TaskID) []Answer[TaskExplanation] {
	return withoutNotOffered(callAll[TaskExplanation](ctx, c, "Why", WhyArgs{Task: task}, SchedService))
}

// errNotOffered means that the daemon answered but does not offer the call.
var errNotOffered = errors.New("the daemon does not offer this call")

// callAll calls all daemons concurrently. It tries the services in order until the daemon offers one.
func callAll[T any](ctx context.Context, c *Client, method string, args any, services ...string) []Answer[T] {
	answers := make([]Answer[T], len(c.clients))
	var wait sync.WaitGroup
	for i, client := range c.clients {
		wait.Go(func() {
			answers[i] = call[T](ctx, client, method, args, services)
			answers[i].Address = c.addresses[i]
		})
	}
	wait.Wait()
	return answers
}

func call[T any](ctx context.Context, client *peer.Client, method string, args any, services []string) Answer[T] {
	var answer Answer[T]
	for _, service := range services {
		answer = Answer[T]{}
		answer.Err = client.Call(ctx, service+"."+method, args, &answer.Value)
		if !isNotOffered(answer.Err) {
			return answer
		}
		answer.Err = errNotOffered
	}
	return answer
}

// isNotOffered reports whether err is the answer of net/rpc for a service that is not registered. That error has no type
// of its own, so its text is compared.
func isNotOffered(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr) && strings.HasPrefix(string(serverErr), "rpc: can't find service")
}

// withoutNotOffered drops the answers of daemons that do not offer the call.
func withoutNotOffered[T any](answers []Answer[T]) []Answer[T] {
	var kept []Answer[T]
	for _, a := range answers {
		if !errors.Is(a.Err, errNotOffered) {
			kept = append(kept, a)
		}
	}
	return kept
}
