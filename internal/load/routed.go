package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// routed sends a request that the routing table forwards to stand-in servers. A write that fails without an answer may
// have run, so its outcome is recorded as unknown.
func (r *Runner) routed(ctx context.Context, s Stream, body []byte) result {
	res := r.sendRouted(ctx, s, body)
	if res.err != nil {
		res.outcome = tier.Unknown
	}
	if s.Write {
		r.writes.record(body, res.outcome)
	}
	return res
}

func (r *Runner) sendRouted(ctx context.Context, s Stream, body []byte) result {
	id := fmt.Sprintf("%016x", xxhash.Sum64(body))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method, sent := http.MethodGet, []byte(nil)
	if s.Write {
		method, sent = http.MethodPost, body
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Host+s.Path, bytes.NewReader(sent))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set(tier.HeaderRequestID, id)
	req.Header.Set(tier.HeaderDeadline, strconv.FormatInt(int64(s.DeadlineMs), 10))
	resp, err := r.client.Forward(ctx, req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{err: err}
	}
	return checkRouted(s, id, resp.StatusCode, resp.Header, got)
}

// checkRouted derives the result of a request from its answer and records the guarantees that the answer violates.
func checkRouted(s Stream, id string, status int, h http.Header, body []byte) result {
	switch status {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		return result{outcome: tier.NotRun, reason: tier.ReasonOverload}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return result{outcome: tier.Unknown, reason: tier.ReasonLost, needed: 1}
	default:
		return result{err: errors.Errorf("status %d: %s", status, body)}
	}
	res := result{outcome: tier.Done, coverage: 1, needed: 1}
	if s.Write {
		if stand.WriteServer(id, body) == "" {
			res.violations.WrongCaller = 1
		}
		return res
	}
	shards, err := stand.CheckRecords(id, body)
	missing := 0
	if v := h.Get(tier.DefaultHeaders().Missing); v != "" {
		var e error
		if missing, e = strconv.Atoi(v); e != nil {
			res.violations.FalseCoverage = 1
		}
	}
	switch {
	case errors.Is(err, stand.ErrOtherRequest):
		res.violations.WrongCaller = 1
	case err != nil || shards+missing != max(1, s.Shards):
		res.violations.FalseCoverage = 1
	}
	res.needed = max(1, s.Shards)
	res.coverage = float64(shards) / float64(res.needed)
	if missing > 0 {
		res.outcome = tier.Partial
	}
	return res
}
