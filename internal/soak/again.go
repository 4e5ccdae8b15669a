package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxSendings limits how often a caller sends a request. It waits for up to maxAtOnce between two, or as long as the
	// response says, or repeatPause if it says nothing.
	maxSendings = 4
	maxAtOnce   = 10 * time.Millisecond
	repeatPause = 300 * time.Millisecond
	// Shares of the repeats through the same host, with the same id, and at once.
	sameHostPercent = 75
	sameIDPercent   = 60
	atOncePercent   = 75
)

// ask sends an idempotent request, and again on new connections while it fails. Each sending is a request of its own for
// the guarantees.
func (f *Fleet) ask(ctx context.Context, client *http.Client, h *host, q sending, send func(context.Context, *http.Client, *host, sending) response, r *rand.Rand) {
	again := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for a := send(ctx, client, h, q); a.status != http.StatusOK && a.status != http.StatusUnauthorized && q.n+1 < maxSendings && ctx.Err() == nil; a = send(ctx, again, h, q) {
		wait := time.Duration(r.Int64N(int64(maxAtOnce)))
		if !percent(r, atOncePercent) {
			wait = retryAfter(a)
		}
		pause(ctx, wait)
		if !percent(r, sameHostPercent) {
			h = f.hosts[r.IntN(len(f.hosts))]
		}
		q.n++
		if !percent(r, sameIDPercent) {
			q.id = fmt.Sprintf("%s.%d", q.id, q.n)
		}
	}
}

// retryAfter returns how long the caller is asked to wait.
func retryAfter(a response) time.Duration {
	if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
		return time.Duration(s * float64(time.Second))
	}
	return repeatPause
}
