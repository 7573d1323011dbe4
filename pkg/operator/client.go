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

// Client asks the operator listeners of all own VMs. Each address belongs to one daemon, an entry or a scheduler.
type Client struct {
	addresses []string
	clients   []*peer.Client
}

// NewClient returns a client for the operator listeners.
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

// Answer is what one daemon has answered, or why it has not.
type Answer[T any] struct {
	Address string
	Value   T
	Err     error
}

// Status asks every daemon about itself.
func (c *Client) Status(ctx context.Context) []Answer[Status] {
	return askAll[Status](ctx, c, "Status", Args{}, EntryService, SchedService)
}

// Rules asks every daemon for its rules.
func (c *Client) Rules(ctx context.Context) []Answer[rules.Snapshot] {
	return askAll[rules.Snapshot](ctx, c, "Rules", Args{}, EntryService, SchedService)
}

// Burn asks every entry for its counts. Schedulers are left out.
func (c *Client) Burn(ctx context.Context) []Answer[burn.Snapshot] {
	return only(askAll[burn.Snapshot](ctx, c, "Burn", Args{}, EntryService))
}

// Why asks every scheduler about a task. Entries are left out.
func (c *Client) Why(ctx context.Context, task oleanderline.TaskID) []Answer[Why] {
	return only(askAll[Why](ctx, c, "Why", WhyArgs{Task: task}, SchedService))
}

// errOtherDaemon means that the daemon answered, but does not offer the call.
var errOtherDaemon = errors.New("the daemon does not offer this call")

// askAll asks all daemons at the same time, under the first of the services that they offer.
func askAll[T any](ctx context.Context, c *Client, method string, args any, services ...string) []Answer[T] {
	answers := make([]Answer[T], len(c.clients))
	var wait sync.WaitGroup
	for i, client := range c.clients {
		wait.Go(func() {
			answers[i] = ask[T](ctx, client, method, args, services)
			answers[i].Address = c.addresses[i]
		})
	}
	wait.Wait()
	return answers
}

func ask[T any](ctx context.Context, client *peer.Client, method string, args any, services []string) Answer[T] {
	var answer Answer[T]
	for _, service := range services {
		answer = Answer[T]{}
		answer.Err = client.Call(ctx, service+"."+method, args, &answer.Value)
		if !notOffered(answer.Err) {
			return answer
		}
		answer.Err = errOtherDaemon
	}
	return answer
}

// notOffered recognizes the answer of net/rpc to a service that is not registered, which has no type of its own.
func notOffered(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), "rpc: can't find service")
}

func only[T any](answers []Answer[T]) []Answer[T] {
	var kept []Answer[T]
	for _, a := range answers {
		if !errors.Is(a.Err, errOtherDaemon) {
			kept = append(kept, a)
		}
	}
	return kept
}
