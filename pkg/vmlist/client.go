// Package vmlist is the HTTP client of the platform's VM list.
package vmlist

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Client implements oleanderline.VMList.
type Client struct {
	http *platform.Client
}

var _ oleanderline.VMList = (*Client)(nil)

// NewClient returns a client for the VM list at baseURL.
func NewClient(baseURL string, options ...platform.Option) *Client {
	return &Client{http: platform.NewClient(baseURL, options...)}
}

// List implements oleanderline.VMList.
func (c *Client) List(ctx context.Context) ([]oleanderline.VM, error) {
	var vms []oleanderline.VM
	if err := c.http.Get(ctx, "/vms", &vms); err != nil {
		return nil, err
	}
	return vms, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }
