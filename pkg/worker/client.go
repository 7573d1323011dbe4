// Package worker is the HTTP client of the platform's agent on one worker VM.
package worker

import (
	"context"
	"strconv"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Client implements oleanderline.Worker.
type Client struct {
	http *platform.Client
}

var _ oleanderline.Worker = (*Client)(nil)

// NewClient returns a client for the worker at baseURL, which is "http://" followed by the worker's address in the VM list.
func NewClient(baseURL string, options ...platform.Option) *Client {
	return &Client{http: platform.NewClient(baseURL, options...)}
}

// Start implements oleanderline.Worker.
func (c *Client) Start(ctx context.Context, req oleanderline.StartRequest) error {
	return c.http.Post(ctx, "/start", req, nil)
}

// Renew implements oleanderline.Worker.
func (c *Client) Renew(ctx context.Context, req oleanderline.RenewRequest) (oleanderline.Inventory, error) {
	var answer oleanderline.Inventory
	if err := c.http.Post(ctx, "/renew", req, &answer); err != nil {
		return oleanderline.Inventory{}, err
	}
	return answer, nil
}

// Stop implements oleanderline.Worker.
func (c *Client) Stop(ctx context.Context, req oleanderline.StopRequest) (oleanderline.StopResult, error) {
	var answer oleanderline.StopResult
	if err := c.http.Post(ctx, "/stop", req, &answer); err != nil {
		return oleanderline.StopResult{}, err
	}
	return answer, nil
}

// Throttle implements oleanderline.Worker.
func (c *Client) Throttle(ctx context.Context, req oleanderline.ThrottleRequest) error {
	return c.http.Post(ctx, "/throttle", req, nil)
}

// Inventory implements oleanderline.Worker.
func (c *Client) Inventory(ctx context.Context, shard oleanderline.ShardID) (oleanderline.Inventory, error) {
	var answer oleanderline.Inventory
	if err := c.http.Get(ctx, "/inventory?shard="+strconv.Itoa(int(shard)), &answer); err != nil {
		return oleanderline.Inventory{}, err
	}
	return answer, nil
}

// Usage implements oleanderline.Worker.
func (c *Client) Usage(ctx context.Context) (oleanderline.Usage, error) {
	var answer oleanderline.Usage
	if err := c.http.Get(ctx, "/usage", &answer); err != nil {
		return oleanderline.Usage{}, err
	}
	return answer, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }
