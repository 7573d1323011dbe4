// Package logservice is the HTTP client of the platform's log service.
package logservice

import (
	"context"
	"net/url"
	"strconv"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/platform"
)

// Client implements oleanderline.LogService.
type Client struct {
	http *platform.Client
}

var _ oleanderline.LogService = (*Client)(nil)

// NewClient returns a client for the log service at baseURL.
func NewClient(baseURL string, options ...platform.Option) *Client {
	return &Client{http: platform.NewClient(baseURL, options...)}
}

// Append implements oleanderline.LogService.
func (c *Client) Append(ctx context.Context, stream oleanderline.Stream, data []byte) (oleanderline.Offset, error) {
	var answer struct {
		Offset oleanderline.Offset `json:"offset"`
	}
	if err := c.http.PostBytes(ctx, path(stream), data, &answer); err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read implements oleanderline.LogService.
func (c *Client) Read(
	ctx context.Context, stream oleanderline.Stream, from oleanderline.Offset, limit int,
) (oleanderline.Batch, error) {
	query := url.Values{"from": {strconv.FormatInt(int64(from), 10)}, "limit": {strconv.Itoa(limit)}}
	var batch oleanderline.Batch
	if err := c.http.Get(ctx, path(stream)+"?"+query.Encode(), &batch); err != nil {
		return oleanderline.Batch{}, err
	}
	return batch, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

func path(stream oleanderline.Stream) string {
	return "/streams/" + url.PathEscape(string(stream))
}
