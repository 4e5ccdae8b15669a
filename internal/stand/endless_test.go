package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestEndlessAnswersGoOnUntilTheCallerCloses reads a megabyte of each kind; none is a complete answer
// of less.
func TestEndlessAnswersGoOnUntilTheCallerCloses(t *testing.T) {
	for kind := range endlessAnswers {
		ended := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer close(ended)
			SendEndless(w, r, kind, tier.HeaderRequestID)
		}))
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+tier.HeaderRequestID+": id\r\n\r\n")
		require.NoError(t, err)
		n, err := io.CopyN(io.Discard, bufio.NewReader(c), 1<<20)
		require.NoError(t, err)
		require.Equal(t, int64(1<<20), n)
		require.NoError(t, c.Close())
		<-ended
		s.Close()
	}
}
