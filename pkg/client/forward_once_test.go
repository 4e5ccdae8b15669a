package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
