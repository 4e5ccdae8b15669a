package conn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSecondAnswerIsNotTakenIfTheFirstIsNotRecognized has a server fail a request by an answer that does not name it as it should,
// and send a second answer, a success that does.
func TestSecondAnswerIsNotTakenIfTheFirstIsNotRecognized(t *testing.T) {
	names := directNames
	names.Signature = "X-Signature"
	name := names.RequestID
	second := "HTTP/1.1 200 OK\r\n" + name + ": own\r\nX-Signature: b\r\nContent-Length: 6\r\n\r\nsecond"
	for _, ids := range []string{
		"", name + ":\r\n", name + ": OWN\r\n", name + ": own, own\r\n", name + ": own\r\n" + name + ": first\r\n", name + ": first\r\n" + name + ": own\r\n", name + ": never\r\n", name + ": o\r\n wn\r\n", name + " : own\r\n",
	} {
		for _, used := range []bool{false, true} {
			failure := fmt.Sprintf("HTTP/1.1 500 Failed\r\n%sX-Signature: a\r\nContent-Length: 0\r\n\r\n", ids)
			d := scriptedServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for req := readRequest(t, r); req != nil; req = readRequest(t, r) {
					if req.Header.Get(name) == "own" {
						_, _ = io.WriteString(conn, failure+second)
						continue
					}
					_, _ = io.WriteString(conn, answerTo(req, "first"))
				}
			})
			if used {
				_, err := doSent(t, d, outgoing("first"))
				require.NoError(t, err)
			}
			o := outgoing("own")
			o.Names = &names
			a, err := doSent(t, d, o)
			if err != nil {
				require.NotErrorIs(t, err, ErrNotSent)
				require.Zero(t, d.Idle())
				continue
			}
			require.Equal(t, http.StatusInternalServerError, a.Status, "%q, used %v", ids, used)
		}
	}
}
