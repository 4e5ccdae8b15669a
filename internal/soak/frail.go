package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// frailService is a service whose servers crash when they get a request for crashPath.
	frailService = "frail"
	frailServers = 3
	crashPath    = "/frail/crash"
	crashPause   = 400 * time.Millisecond
	// maxCrashTime bounds how long such a server is down.
	maxCrashTime = 1500 * time.Millisecond
	// quarantineDelay is the time after the crash number quarantineCrashes from which at most maxLateCrashes requests for crashPath
	// may reach a server.
	quarantineCrashes = 3
	quarantineDelay   = 4 * time.Second
	maxLateCrashes    = 3
)

// crashLater crashes a server that has got a request for crashPath, and starts it again.
func (s *server) crashLater() {
	s.checker.recordCrash()
	s.crash()
	s.mu.Lock()
	down := maxCrashTime/3 + time.Duration(s.rand.Int64N(int64(maxCrashTime*2/3)))
	s.mu.Unlock()
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		select {
		case <-s.stop:
		case <-time.After(down):
			s.restart()
		}
	}()
}

// recordCrash records that a request for crashPath has reached a server, and checks that few do once all hosts know of its crashes.
func (j *checker) recordCrash() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, time.Now())
	if n := len(j.crashes); n > quarantineCrashes && j.stableLocked() && time.Since(j.crashes[quarantineCrashes-1]) > quarantineDelay {
		if j.lateCrashes++; j.lateCrashes > maxLateCrashes {
			j.reportLocked("a request that crashes servers has reached %d, %d of them later than %v after the third while nothing was disturbed", n, j.lateCrashes, quarantineDelay)
		}
	}
}

// runCrasher sends the request that crashes servers, and a sound one to the same service, until ctx is done.
func (f *Fleet) runCrasher(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		for _, path := range []string{crashPath, "/frail/sound"} {
			f.request(ctx, client, f.hosts[r.IntN(len(f.hosts))], http.MethodGet, path, f.publicSending(fmt.Sprint("frail-", i, path[len("/frail"):]), r), nil)
		}
		pause(ctx, crashPause)
	}
}

func (f *Fleet) publicSending(name string, r *rand.Rand) sending {
	return sending{id: fmt.Sprintf("%d-%s", f.Seed, strings.ReplaceAll(name, "/", "-")), key: f.pickKey(r), public: true}
}

// checkFrail checks that sound requests to the service whose servers crash are served.
func (f *Fleet) checkFrail(ctx context.Context, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, h := range f.hosts {
		n := 0
		if !f.await(func() bool {
			n++
			return f.request(ctx, client, h, http.MethodGet, "/frail/sound", f.publicSending(fmt.Sprint("sound-", i, "-", n), r), nil).status == http.StatusOK
		}) {
			f.checker.report("%s does not serve a sound request to %s", h.id, frailService)
		}
	}
}

// serversOfOne returns the servers of the service of a random server.
func (f *Fleet) serversOfOne() (list []*server) {
	service := f.randomServer().service
	for _, s := range f.servers {
		if s.service == service {
			list = append(list, s)
		}
	}
	return list
}
