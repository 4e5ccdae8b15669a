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
