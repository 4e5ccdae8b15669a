package client

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

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
		resp, err := clientOf(node).Forward(testContext(t), req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		node.Close()
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, "body of /x", string(body))
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
		resp, err := clientOf(node).Forward(testContext(t), req)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, string(body))
	}
}
