package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	requestDeadline = 4 * time.Second
	// deadlineMargin is how long after its deadline a request may take to get its final response.
	deadlineMargin = 1500 * time.Millisecond
	// maxApplyAttempts limits how often an operator sends one routing table; applyRetryPause is the wait between
	// two attempts.
	maxApplyAttempts = 60
	applyRetryPause  = 100 * time.Millisecond
)

// runCaller sends a caller's requests over keep-alive connections until ctx is done.
func (f *Fleet) runCaller(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		h := f.hosts[r.IntN(len(f.hosts))]
		q := sending{id: fmt.Sprintf("%d-%d-%d", f.Seed, n, i), key: f.pickKey(r)}
		switch r.IntN(4) {
		case 0:
			f.write(ctx, client, h, q)
		case 1:
			q.public = percent(r, publicPercent)
			f.ask(ctx, client, h, q, f.read, r)
		default:
			f.ask(ctx, client, h, q, f.search, r)
		}
		pause(ctx, time.Duration(5+r.IntN(30))*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// response is a complete response; status is 0 if the connection was refused or broke.
type response struct {
	status int
	header http.Header
	body   []byte
	// timedOut is true if no response arrived within the deadline and deadlineMargin.
	timedOut bool
}

// request sends one request and reads its whole response.
func (f *Fleet) request(ctx context.Context, client *http.Client, h *host, method, path string, q sending, body []byte) response {
	// A request that has started is completed even if the run ends.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestDeadline+deadlineMargin)
	defer cancel()
	// A body that cannot be read again keeps the transport from sending the request a second time by itself.
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(h.id, portCallers)+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return response{}
	}
	req.ContentLength = int64(len(body))
	req.Host = "soak.example"
	req.Header.Set(tier.HeaderRequestID, q.id)
	req.Header.Set(headerSending, q.String())
	req.Header.Set(tier.HeaderDeadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	names := tier.DefaultHeaders()
	req.Header.Set(names.Tenant, claimedTenant)
	if q.key != "" {
		req.Header.Set(names.Credential, q.key)
	}
	f.checker.recordSent(q)
	resp, err := client.Do(req)
	if err != nil {
		return response{timedOut: ctx.Err() != nil}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{timedOut: ctx.Err() != nil}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: b}
}

func (f *Fleet) search(ctx context.Context, client *http.Client, h *host, q sending) response {
	a := f.request(ctx, client, h, http.MethodGet, "/search/", q, nil)
	f.checkResponse(h, q, a, f.shardServices()...)
	if a.status == http.StatusOK {
		n := f.checker.checkParts(q, a)
		missing, err := strconv.Atoi(a.header.Get(tier.DefaultHeaders().Missing))
		if err != nil || n+missing != shards || n < minShards {
			f.checker.report("response to %s: %d shards present, %d reported missing: %v", q, n, missing, err)
		}
	}
	return a
}

// read sends an idempotent request to a service that has no shards: the response is the server's own.
func (f *Fleet) read(ctx context.Context, client *http.Client, h *host, q sending) response {
	path := "/read/"
	if q.public {
		path = "/open/"
	}
	a := f.request(ctx, client, h, http.MethodGet, path, q, nil)
	f.checkResponse(h, q, a, deskService)
	f.checker.checkAnswer(q, a)
	return a
}

// write sends a non-idempotent request, which must run at most once.
func (f *Fleet) write(ctx context.Context, client *http.Client, h *host, q sending) {
	f.checker.markNonIdempotent(q.String())
	a := f.request(ctx, client, h, http.MethodPost, "/write/", q, []byte("w"))
	f.checkResponse(h, q, a, deskService)
	f.checker.checkAnswer(q, a)
	if want := "POST w of " + q.String(); a.status == http.StatusOK && !strings.HasPrefix(string(a.body), want) {
		f.checker.report("response to %s has the wrong body %q", q, a.body)
	}
}

// checkResponse records a response and checks its status. A 404 without a body is the node's own.
func (f *Fleet) checkResponse(h *host, q sending, a response, services ...string) {
	f.checker.recordOutcome(q.String(), a)
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		f.checker.recordNotRun(q.String(), services...)
	case http.StatusUnauthorized:
		f.checker.checkKeyRefused(q.String())
	case http.StatusNotFound:
		if len(a.body) == 0 {
			f.checker.report("%s returned 404 for request %s, whose route exists", h.id, q)
		}
	}
}

// runOperator applies routing tables and reads them back until ctx is done.
func (f *Fleet) runOperator(ctx context.Context, n int, r *rand.Rand) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		if r.IntN(3) > 0 {
			f.readTable(ctx, client, f.hosts[r.IntN(len(f.hosts))])
		} else {
			// Each operator has its own versions: operators race, but one version never has two contents.
			f.applyTable(ctx, client, int(f.version.Add(1))*operators+n)
		}
		pause(ctx, time.Duration(100+r.IntN(400))*time.Millisecond)
	}
}

// applyTable sends a routing table to one host after another until a host acknowledges it.
func (f *Fleet) applyTable(ctx context.Context, client *http.Client, version int) {
	doc := f.routingTable(version)
	f.checker.recordProposed(version)
	for attempt := 0; ctx.Err() == nil && attempt < maxApplyAttempts; attempt++ {
		if attempt > 0 {
			pause(ctx, applyRetryPause)
		}
		h := f.hosts[(version+attempt)%len(f.hosts)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+h.addr(h.bind, portControl)+"/v1/ops/routes", bytes.NewReader(doc))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK:
			f.checker.recordAck(version)
			return
		case resp.StatusCode < http.StatusInternalServerError:
			f.checker.report("routing table %d was refused by %s with status %d", version, h.id, resp.StatusCode)
			return
		}
	}
}

// readTable reads the routing table from a host and reports whether that worked. The table must not be older than
// the newest one acknowledged before the read.
func (f *Fleet) readTable(ctx context.Context, client *http.Client, h *host) bool {
	minVersion := f.checker.lastAcked()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr(h.bind, portControl)+"/v1/ops/routes", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var t struct {
		Version int `json:"version"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&t) != nil {
		return false
	}
	if t.Version < minVersion {
		f.checker.report("%s returned routing table version %d, but %d was acknowledged before", h.id, t.Version, minVersion)
	}
	return true
}
