package client

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestForwardRetriesDialErrors lists an unreachable node and one that responds: a request that could not be sent to the
// first must reach the second with the same host, path and body.
func TestForwardRetriesDialErrors(t *testing.T) {
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, unreachable.Close())
	received := make(chan string, 2)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(b)
		received <- r.Host + r.URL.Path + " " + string(b)
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer node.Close()
	list := []string{unreachable.Addr().String(), strings.TrimPrefix(node.URL, "http://")}
	c := &Client{cachedEntries: list, cachedUntil: time.Now().Add(time.Hour), Entries: list}
	c.HTTP = &http.Client{Transport: entryListTransport{list}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body"))
		require.NoError(t, err)
		resp, err := c.Forward(testContext(t), req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, 250*time.Millisecond, RetryAfter(resp.Header))
		require.Equal(t, "a.example/x body", <-received)
	}
}

// entryListTransport responds to requests for the list of entries itself and sends all others.
type entryListTransport struct{ list []string }

func (r entryListTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Path != "/v1/entries" {
		return http.DefaultTransport.RoundTrip(req)
	}
	w := httptest.NewRecorder()
	_, _ = w.WriteString(`{"addresses":["` + strings.Join(r.list, `","`) + `"],"ttl_ms":1000}`)
	return w.Result(), nil
}

// TestForwardNeverResendsSentRequest has a node close the connection after it read the request. The request may have
// run, so Forward must return the error and leave a retry to the caller.
func TestForwardNeverResendsSentRequest(t *testing.T) {
	var calls atomic.Int64
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer node.Close()
	c := &Client{cachedEntries: []string{strings.TrimPrefix(node.URL, "http://")}, cachedUntil: time.Now().Add(time.Hour)}
	req, err := http.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("body"))
	require.NoError(t, err)
	_, err = c.Forward(testContext(t), req) //nolint:bodyclose // there is no response
	require.Error(t, err)
	require.Equal(t, int64(1), calls.Load())
}

func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		value string
		want  time.Duration
	}{{"", 0}, {"2", 2 * time.Second}, {"0.3", 300 * time.Millisecond}, {"-1", 0}, {"soon", 0}} {
		require.Equal(t, c.want, RetryAfter(http.Header{"Retry-After": {c.value}}), c.value)
	}
}

// clientOf returns a client whose only entry is a node.
func clientOf(node *httptest.Server) *Client {
	return &Client{cachedEntries: []string{strings.TrimPrefix(node.URL, "http://")}, cachedUntil: time.Now().Add(time.Hour), HTTP: &http.Client{Transport: Transport()}}
}

// TestForwardNeverResendsOnAKeptConnection has a node answer one request and close the connection after it has read the next one,
// which may run once only although its method or a header lets net/http send it again.
func TestForwardNeverResendsOnAKeptConnection(t *testing.T) {
	for _, c := range []struct{ method, body, key, framing string }{
		{http.MethodGet, "", "", ""},
		{http.MethodHead, "", "", ""},
		{http.MethodOptions, "", "", ""},
		{http.MethodPost, "", "", ""},
		{http.MethodPost, "body", "", ""},
		{http.MethodPost, "body", "k", ""},
		{http.MethodPost, "", "k", "chunked"},
	} {
		var mu sync.Mutex
		var received []string
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			b := make([]byte, max(0, r.ContentLength))
			_, _ = r.Body.Read(b)
			mu.Lock()
			defer mu.Unlock()
			received = append(received, r.URL.Path+" "+string(b)+strings.Join(r.TransferEncoding, ""))
			if r.URL.Path != "/first" {
				panic(http.ErrAbortHandler)
			}
		}))
		client := clientOf(node)
		send := func(path string) error {
			req, err := http.NewRequest(c.method, "http://a.example"+path, strings.NewReader(c.body))
			require.NoError(t, err)
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			resp, err := client.Forward(testContext(t), req)
			if err == nil {
				err = resp.Body.Close()
			}
			return err
		}
		require.NoError(t, send("/first"), c.method)
		require.Error(t, send("/second"), c.method)
		node.Close()
		require.Equal(t, []string{"/first " + c.body + c.framing, "/second " + c.body + c.framing}, received, "%s %q", c.method, c.key)
	}
}

// forward sends a request through a node and returns the response with its body.
func forward(t *testing.T, node *httptest.Server, req *http.Request) (*http.Response, string) {
	resp, err := clientOf(node).Forward(testContext(t), req)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp, string(body)
}

// TestForwardReturnsTheAnswerToItsRequest has a node answer by redirections to itself: the caller gets those and not what is there.
func TestForwardReturnsTheAnswerToItsRequest(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/x" {
				w.Header().Set("Location", "http://"+r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String()+"/other")
				w.WriteHeader(status)
			}
			_, _ = io.WriteString(w, "body of "+r.URL.Path)
		}))
		req, err := http.NewRequest(http.MethodGet, "http://a.example/x", nil)
		require.NoError(t, err)
		resp, body := forward(t, node, req)
		node.Close()
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, "body of /x", body)
	}
}

// TestTransportAsksForBodiesAsTheyAre checks that no encoding of the body is asked for unless the caller does: nodes take an encoded
// body for one that is not the server's.
func TestTransportAsksForBodiesAsTheyAre(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Accept-Encoding"))
	}))
	defer node.Close()
	for _, want := range []string{"", "br"} {
		req, err := http.NewRequest(http.MethodGet, "http://a.example/x", nil)
		require.NoError(t, err)
		if want != "" {
			req.Header.Set("Accept-Encoding", want)
		}
		_, body := forward(t, node, req)
		require.Equal(t, want, body)
	}
}
