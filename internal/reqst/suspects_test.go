package reqst

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// TestRequestThatKillsServersIsQuarantined: a request that kills servers is repeated, with
// an innocent request running beside it.
func TestRequestThatKillsServersIsQuarantined(t *testing.T) {
	var s Suspects
	const killer, innocent = tier.Fingerprint(1), tier.Fingerprint(2)
	for i, id := range []tier.ServerID{"a", "b"} {
		now := time.Duration(i) * time.Second
		require.True(t, s.Blame(now, Death{Fingerprint: killer, Server: id}))
		require.True(t, s.Blame(now, Death{Fingerprint: innocent, Server: id}))
		require.False(t, s.Blame(now, Death{Fingerprint: killer, Server: id}), "the same death is reported by every node")
		require.Zero(t, s.QuarantineRemaining(now, killer))
	}
	s.Clear(innocent)
	s.Blame(3*time.Second, Death{Fingerprint: killer, Server: "c"})
	s.Blame(3*time.Second, Death{Fingerprint: innocent, Server: "c"})
	require.Equal(t, deathTTL, s.QuarantineRemaining(3*time.Second, killer))
	require.Zero(t, s.QuarantineRemaining(3*time.Second, innocent))
	require.Zero(t, s.QuarantineRemaining(3*time.Second+deathTTL, killer), "the quarantine has expired")
}

func TestNumberOfSuspectsIsBounded(t *testing.T) {
	var s Suspects
	for i := range maxSuspects + 10 {
		s.Blame(0, Death{Fingerprint: tier.Fingerprint(i), Server: "a"})
	}
	require.Len(t, s.deaths, maxSuspects)
	require.True(t, s.Blame(2*deathTTL, Death{Fingerprint: 999999, Server: "a"}), "expired entries are evicted")
}

// TestDeathsKeepTheirAge: a host that learns of deaths from others refuses the request as long as they do, and hands them on
// with their age, so that a quarantine ends although hosts restart all the time.
func TestDeathsKeepTheirAge(t *testing.T) {
	const killer, other = tier.Fingerprint(1), tier.Fingerprint(2)
	var first Suspects
	first.Blame(0, Death{Fingerprint: other, Server: "x"})
	for _, id := range []tier.ServerID{"a", "b", "c"} {
		first.Blame(0, Death{Fingerprint: killer, Server: id})
	}
	now, hosts := 10*time.Second, []*Suspects{&first}
	for range 4 {
		next := &Suspects{}
		list := hosts[len(hosts)-1].List(now, 3)
		require.Len(t, list, 3)
		for _, d := range list {
			require.Equal(t, killer, d.Fingerprint, "the request with the most deaths goes first")
			require.True(t, next.Blame(now, d))
			require.False(t, next.Blame(now, d))
		}
		require.Equal(t, deathTTL-now, next.QuarantineRemaining(now, killer))
		hosts = append(hosts, next)
		now += 10 * time.Second
	}
	last := hosts[len(hosts)-1]
	require.Empty(t, last.List(deathTTL, 10))
	require.Len(t, first.List(now, 10), 4)
	require.False(t, last.Blame(now, Death{Fingerprint: other, Server: "x", Age: deathTTL}), "too long ago")
}
