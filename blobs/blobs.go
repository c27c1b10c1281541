// Package blobs is a client of the platform's object store.
package blobs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"citronbridge/httpc"
	"citronbridge/retry"
)

// callTimeout bounds one call to the object store.
const callTimeout = 10 * time.Second

// ErrNotFound means that there is no object with that name.
var ErrNotFound = errors.New("no such object")

// Client calls the object store. A retry.Guard limits its calls and retries.
type Client struct {
	http  *httpc.Client
	guard *retry.Guard
}

// NewClient returns a Client of the object store at the URL base.
func NewClient(base string, g *retry.Guard) *Client {
	return &Client{http: httpc.New(base), guard: g}
}

// Get returns the contents of an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.guard.Retry(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		var err error
		_, b, err = c.http.DoRaw(x, http.MethodGet, "/objects/"+url.PathEscape(name), nil)
		if httpc.Status(err) == http.StatusNotFound {
			return retry.Permanent(fmt.Errorf("%w: %w", ErrNotFound, err))
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	return b, nil
}

// Put stores data as the object with that name. It is idempotent, so it is retried.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	err := c.guard.Retry(ctx, func(x context.Context) error {
		x, cancel := context.WithTimeout(x, callTimeout)
		defer cancel()
		return c.http.Do(x, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	return nil
}
