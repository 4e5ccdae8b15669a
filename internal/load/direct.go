package load

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// direct sends a search straight to a server, with the headers that the node that owns the server would set.
func (r *Runner) direct(ctx context.Context, s Stream, body []byte) result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Direct+conn.SearchPath, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set(tier.HeaderRequestID, string(body))
	req.Header.Set(tier.HeaderVersion, "1")
	req.Header.Set(tier.HeaderShard, "0/1")
	resp, err := r.client.HTTP.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return result{err: err, outcome: tier.Done, needed: 1, coverage: 1}
}
