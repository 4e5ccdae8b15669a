package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// longPath is that of a request that a server refuses after longWork, so that it is retried after a drain of another server; it
	// is not idempotent, so that it is not hedged before.
	longPath     = "/write/long"
	longWork     = maxDrainDelay + 400*time.Millisecond
	longRequests = 8
)

// drainBesideLongRequests drains a server while long requests wait at others, which refuse them, so that they are retried when the
// drain must have taken effect.
func (f *Fleet) drainBesideLongRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var wait sync.WaitGroup
	for i := range longRequests {
		h, q := f.hosts[i%len(f.hosts)], sending{id: fmt.Sprintf("%d-long-%d", f.Seed, i), key: fixedKey(tenantNames[0])}
		wait.Go(func() { f.request(ctx, client, h, http.MethodPost, longPath, q, nil) })
	}
	pause(ctx, 50*time.Millisecond)
	for _, s := range f.servers {
		if s.service == deskService {
			s.setState(true, 0)
			defer s.setState(false, 0)
			break
		}
	}
	wait.Wait()
}
