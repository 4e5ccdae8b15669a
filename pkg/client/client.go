// Package client sends callers' and operators' requests to sassafrasring entries.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// maxResponseBytes limits the body of a response, maxResponseHeaderBytes its header together with
	// interim responses.
	maxResponseBytes       = 64 << 20
	maxResponseHeaderBytes = 64 << 10
	// retryPause is the delay between two attempts.
	retryPause = 100 * time.Millisecond
)

// ErrNoEntry means that an entry returned an empty list of entries, for example because all are draining.
var ErrNoEntry = errors.New("no entry to use")

// ErrResponseTooLong means that a response has a longer body than any response of an entry.
var ErrResponseTooLong = errors.New("response is too long")

// ErrNoStatus means that a response has a status below 100, so that it is none. net/http closes its connection.
var ErrNoStatus = errors.New("response without a valid status")

// defaultHTTP sends the requests of clients without an HTTP client of their own.
var defaultHTTP = &http.Client{Transport: Transport()}

// Transport returns a transport that bounds the headers of responses and asks for no encoding of its own: nodes do not
// return a success with an encoded body, since that is not the server's body.
func Transport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes, t.DisableCompression = maxResponseHeaderBytes, true
	return t
}

// Raw is a request body that is sent unchanged.
type Raw []byte

// StatusError is a response with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Client sends requests to entries. Set the exported fields before the first request.
type Client struct {
	// Entries lists addresses (host:port) of entries, of which at least one must be up.
	Entries []string
	// Name and Secret are the credentials of the caller's or operator's account.
	Name, Secret string
	// HTTP sends the requests; nil means a client with Transport and no time-out.
	HTTP *http.Client
	// Scheme is http or https; empty means http.
	Scheme string

	mu            sync.Mutex
	cachedEntries []string
	cachedUntil   time.Time
	nextEntry     int
}

// Do sends one request to one entry and decodes the response into out if its status is one of ok, or 200 if ok is
// empty. A *[]byte as out gets the undecoded body.
func (c *Client) Do(ctx context.Context, entry, method, path string, in, out any, ok ...int) error {
	req, err := c.request(ctx, entry, method, path, in)
	if err != nil {
		return err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return tier.At(method+" "+path, entry, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusContinue {
		return tier.At(method+" "+path, entry, ErrNoStatus)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = ErrResponseTooLong
	}
	if err != nil {
		return tier.At("read response of "+path, entry, err)
	}
	if !isExpectedStatus(ok, resp.StatusCode) {
		return tier.At(method+" "+path, entry, &StatusError{resp.StatusCode, string(bytes.TrimSpace(b))})
	}
	if out == nil {
		return nil
	}
	if raw, isBytes := out.(*[]byte); isBytes {
		*raw = b
		return nil
	}
	return tier.At("decode response of "+path, entry, decode(b, out))
}

// decode replaces the value to which out points. It leaves that value unchanged on an error, as json.Unmarshal does not: the next
// entry's response would be decoded on top of a part of this one.
func decode(b []byte, out any) error {
	v := reflect.ValueOf(out)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		return &json.InvalidUnmarshalError{Type: reflect.TypeOf(out)}
	}
	fresh := reflect.New(v.Type().Elem())
	if err := json.Unmarshal(b, fresh.Interface()); err != nil {
		return err
	}
	v.Elem().Set(fresh.Elem())
	return nil
}

// httpClient returns the client that sends the requests.
func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return defaultHTTP
	}
	return c.HTTP
}

func (c *Client) request(ctx context.Context, entry, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if raw, isRaw := in.(Raw); isRaw {
		body = bytes.NewReader(raw)
	} else if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme()+"://"+entry+path, body)
	if err != nil {
		return nil, err
	}
	req.SetBasicAuth(c.Name, c.Secret)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func isExpectedStatus(list []int, n int) bool {
	if len(list) == 0 {
		return n == http.StatusOK
	}
	for _, v := range list {
		if v == n {
			return true
		}
	}
	return false
}

// Addresses returns the entries to use. It caches the list until its time to live expires, then requests a new one.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	list, fresh := c.cachedEntries, time.Now().Before(c.cachedUntil)
	c.mu.Unlock()
	if fresh {
		return list, nil
	}
	var lastErr error
	for _, e := range append(append([]string(nil), list...), c.Entries...) {
		var a tier.EntriesAnswer
		lastErr = c.Do(ctx, e, http.MethodGet, "/v1/entries", nil, &a)
		if lastErr == nil && len(a.Addresses) == 0 {
			lastErr = tier.At("list entries", e, ErrNoEntry)
		}
		if lastErr == nil {
			c.mu.Lock()
			c.cachedEntries, c.cachedUntil = a.Addresses, time.Now().Add(a.TTLMs.Duration())
			c.mu.Unlock()
			return a.Addresses, nil
		}
	}
	return nil, lastErr
}

// pickEntry returns the next entry in round-robin order.
func (c *Client) pickEntry(ctx context.Context) (string, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextEntry++
	return list[c.nextEntry%len(list)], nil
}

// expireCache makes the next call request a new list of entries; it is called after a failure.
func (c *Client) expireCache() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedUntil = time.Time{}
}

// Query sends a query to an entry and retries it at the next one until one answers or ctx ends.
func (c *Client) Query(ctx context.Context, q tier.QueryRequest) (tier.QueryAnswer, error) {
	var a tier.QueryAnswer
	err := c.tryEntries(ctx, func(e string) error {
		return c.Do(ctx, e, http.MethodPost, "/v1/query", q, &a, http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout)
	})
	return a, err
}

// Write sends a write and retries it with the same key if the response is lost; the key prevents a second run.
func (c *Client) Write(ctx context.Context, w tier.WriteRequest) (tier.WriteAnswer, error) {
	var a tier.WriteAnswer
	err := c.tryEntries(ctx, func(e string) error {
		err := c.Do(ctx, e, http.MethodPost, "/v1/write", w, &a, http.StatusOK, http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout)
		w.FirstSend = false
		return err
	})
	return a, err
}

// pause waits for retryPause; it returns false if ctx ended first.
func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryPause):
		return true
	case <-ctx.Done():
		return false
	}
}

// tryEntries calls f with one entry after another until f succeeds, returns a status below 500, or ctx ends.
func (c *Client) tryEntries(ctx context.Context, f func(entry string) error) error {
	for {
		e, err := c.pickEntry(ctx)
		if err == nil {
			err = f(e)
		}
		if err == nil {
			return nil
		}
		var se *StatusError
		if errors.As(err, &se) && se.Status < http.StatusInternalServerError {
			return err
		}
		c.expireCache()
		if !pause(ctx) {
			return err
		}
	}
}

// Ops sends an operator's request to the configured entries in turn until one returns a status below 500 or ctx ends.
func (c *Client) Ops(ctx context.Context, method, path string, in, out any, ok ...int) error {
	var lastErr error
	for ctx.Err() == nil {
		for _, e := range c.Entries {
			lastErr = c.Do(ctx, e, method, path, in, out, ok...)
			var se *StatusError
			if lastErr == nil || (errors.As(lastErr, &se) && se.Status < http.StatusInternalServerError) {
				return lastErr
			}
		}
		pause(ctx)
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return lastErr
}

// Path appends query parameters, given as alternating keys and values, to a path.
func Path(path string, params ...string) string {
	v := url.Values{}
	for i := 0; i+1 < len(params); i += 2 {
		v.Set(params[i], params[i+1])
	}
	return path + "?" + v.Encode()
}
