// Package vmlist is the HTTP client of the platform's VM list.
package vmlist

import (
	"context"
	"slices"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Client implements oleanderline.VMList. If the platform sends an ETag with the list, Client reads the rows again only after
// they have changed. It is safe for concurrent use.
type Client struct {
	http *platform.Client

	mu     sync.Mutex
	cached cachedList
}

// cachedList is a VM list with its ETag. Its rows are never modified.
type cachedList struct {
	tag  string // "" if the platform sent none; rows is nil then
	rows []oleanderline.VM
}

var _ oleanderline.VMList = (*Client)(nil)

// NewClient returns a client for the VM list at baseURL.
func NewClient(baseURL string, options ...platform.Option) *Client {
	return &Client{http: platform.NewClient(baseURL, options...)}
}

// List implements oleanderline.VMList. The caller may modify the returned slice.
func (c *Client) List(ctx context.Context) ([]oleanderline.VM, error) {
	cached := c.load()
	var rows []oleanderline.VM
	tag, changed, err := c.http.GetIfChanged(ctx, "/vms", cached.tag, &rows)
	if err != nil {
		return nil, err
	}
	if changed {
		// This may replace a newer list stored by a concurrent call. The next call then only reads the full list again.
		cached = cachedList{tag: tag, rows: rows}
		c.store(cached)
	}
	return slices.Clone(cached.rows), nil
}

func (c *Client) load() cachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cached
}

func (c *Client) store(l cachedList) {
	if l.tag == "" {
		l.rows = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = l
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }
