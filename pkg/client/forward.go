package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Forward sends a request to a node that forwards it to a server by its routing table; the request's Host and path
// select the route. If no connection to the node can be made, so that nothing has been sent, Forward tries the next
// node. A redirection is returned and not followed. The caller closes the response body, decides whether a request may
// be retried and waits for the response's Retry-After (see RetryAfter) before it does.
func (c *Client) Forward(ctx context.Context, req *http.Request) (*http.Response, error) {
	for {
		entry, err := c.pickEntry(ctx)
		if err != nil {
			return nil, err
		}
		out := req.Clone(ctx)
		out.URL.Scheme, out.URL.Host = c.scheme(), entry
		if req.GetBody != nil {
			if out.Body, err = req.GetBody(); err != nil {
				return nil, errors.Wrap(err, "read request")
			}
		}
		if out.Host == "" {
			out.Host = req.URL.Host
		}
		sendOnce(out)
		resp, err := c.withoutRedirects().Do(out)
		if err == nil && resp.StatusCode >= http.StatusContinue {
			return resp, nil
		}
		if err == nil {
			_ = resp.Body.Close()
			err = ErrNoStatus
		}
		c.expireCache()
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" || !pause(ctx) {
			return nil, tier.At(req.Method+" "+req.URL.Path, entry, err)
		}
	}
}

// withoutRedirects returns the client that sends the requests, which returns redirections as they are.
func (c *Client) withoutRedirects() *http.Client {
	h := *c.httpClient()
	h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &h
}

// sendOnce keeps net/http from sending a request again over a new connection when a kept one breaks: it does so by method and headers,
// for requests whose body it can get again.
func sendOnce(req *http.Request) {
	req.GetBody = nil
	keyed := req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
	// Other requests without a body and a key are not sent again, and keep their Content-Length of 0.
	if hasBody := req.Body != nil && req.Body != http.NoBody; hasBody || (!keyed && !isReadMethod(req.Method)) {
		return
	}
	req.Body = io.NopCloser(strings.NewReader(""))
}

func isReadMethod(m string) bool {
	switch m {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// RetryAfter returns the delay in the Retry-After header, or 0 without a valid one. Nodes send seconds with a fraction.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

func (c *Client) scheme() string {
	if c.Scheme == "" {
		return "http"
	}
	return c.Scheme
}
