// Package vmlist is the HTTP client of the platform's VM list.
package vmlist

import (
	"context"
	"slices"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Client implements oleanderline.VMList. It reads the rows again only when they have changed, if the platform gives the
// list an ETag. It is safe for concurrent use.
type Client struct {
	http *platform.Client

	mu   sync.Mutex
	last list
}

// list is a list with its tag. Its rows are never changed.
type list struct {
	tag  string // "": the platform gave none
	rows []oleanderline.VM
}

var _ oleanderline.VMList = (*Client)(nil)

// NewClient returns a client for the VM list at baseURL.
func NewClient(baseURL string, options ...platform.Option) *Client {
	return &Client{http: platform.NewClient(baseURL, options...)}
}

// List implements oleanderline.VMList. The caller may change the slice.
func (c *Client) List(ctx context.Context) ([]oleanderline.VM, error) {
	known := c.known()
	var rows []oleanderline.VM
	tag, changed, err := c.http.GetIfChanged(ctx, "/vms", known.tag, &rows)
	if err != nil {
		return nil, err
	}
	if changed {
		// A concurrent call may have kept a newer list. Then the next read is only a longer one.
		known = list{tag: tag, rows: rows}
		c.keep(known)
	}
	return slices.Clone(known.rows), nil
}

func (c *Client) known() list {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

func (c *Client) keep(l list) {
	if l.tag == "" {
		l.rows = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = l
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }
