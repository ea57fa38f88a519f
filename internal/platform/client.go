package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a client.
const (
	DefaultTimeout = 2 * time.Second
	DefaultRate    = 20 // calls a second
	DefaultBurst   = 20 // calls at once
)

// maxAnswerBytes bounds an answer, so that a mad service can't fill the memory.
const maxAnswerBytes = 64 << 20

// Client speaks with the platform's service over HTTP. It is safe for
// concurrent use. Each call ends within its timeout, the wait for its turn
// under the rate limit included.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	limiter *rate.Limiter
}

var (
	_ Store    = (*Client)(nil)
	_ Machines = (*Client)(nil)
)

// Option changes a default of a client.
type Option func(*Client)

// WithTimeout bounds each call, watches excepted.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithRate bounds the calls a second and at once.
func WithRate(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// NewClient returns a client of the service at baseURL, such as
// "http://127.0.0.1:19000". The HTTP client must not have a timeout of its own,
// which would end watches.
func NewClient(baseURL string, client *http.Client, options ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(baseURL, "/"),
		http:    client,
		timeout: DefaultTimeout,
		limiter: rate.NewLimiter(DefaultRate, DefaultBurst),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.get(ctx, PathEntry, url.Values{"key": {key}}, &entry)
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.get(ctx, PathEntries, url.Values{"prefix": {prefix}}, &listing)
	return listing, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, write Write) (Entry, error) {
	var entry Entry
	err := c.post(ctx, PathWrite, write, &entry)
	return entry, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	return c.post(ctx, PathDelete, DeleteRequest{Key: key, Expect: expect}, &struct{}{})
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	var granted LeaseResponse
	err := c.post(ctx, PathLease, LeaseRequest{TTLMilliseconds: ttl.Milliseconds()}, &granted)
	return granted.Lease, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, lease string) error {
	return c.post(ctx, PathLeaseRenew, RenewLeaseRequest{Lease: lease}, &struct{}{})
}

// Machines implements Machines.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	err := c.get(ctx, PathMachines, nil, &machines)
	return machines, err
}

// MachineChanges implements Machines.
func (c *Client) MachineChanges(ctx context.Context, since MachineRevision) (MachineChanges, error) {
	var changes MachineChanges
	err := c.get(ctx, PathMachines, url.Values{"since": {string(since)}}, &changes)
	return changes, err
}

func (c *Client) get(ctx context.Context, path string, query url.Values, answer any) error {
	return c.call(ctx, http.MethodGet, path+"?"+query.Encode(), nil, answer)
}

func (c *Client) post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return c.call(ctx, http.MethodPost, path, body, answer)
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, method, target, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return decode(response, answer)
}

// decode reads the body to its end, so that the connection can be used again.
func decode(response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return unavailable(err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return unavailable(err)
	}
	return nil
}

// send returns an answer of status 200 and nothing else.
func (c *Client) send(ctx context.Context, method, target string, body []byte) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, unavailable(err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unavailable(err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readFailure(response)
	}
	return response, nil
}

// readFailure returns the error of an answer that is not 200. Without a body
// that says why, nothing is known: the answer may come from something else
// than the service.
func readFailure(response *http.Response) error {
	var failure Failure
	if err := decode(response, &failure); err != nil {
		return fmt.Errorf("%w (status %s)", err, response.Status)
	}
	return failure.Err()
}

func unavailable(cause error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}
