package proof

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHistories lists what happens to hosts and when they hold a proof. In each history a revocation is acknowledged 1 s
// after the change; the simulation fails if any host serves with the old table later than it may. Host 0 leads, 0 to 2 hold
// replicas.
func TestHistories(t *testing.T) {
	slow := func(s *sim) {
		s.delay = func() time.Duration { return 700 * time.Millisecond }
	}
	for _, c := range []struct {
		name string
		// change happens once all hosts have proofs; commit is what happens to the group after 1 s.
		change func(s *sim)
		// undo ends it 8 s later.
		undo func(s *sim)
		// host has lost its proof, or kept it, after 7 s, and has it back at the end.
		host int
		kept bool
	}{
		{"nothing", func(*sim) {}, nil, 5, true},
		{"frozen", func(s *sim) { s.hosts[5].frozen = true }, func(s *sim) { s.hosts[5].frozen = false }, 5, false},
		{"restarted", func(s *sim) { s.restart(s.hosts[5]) }, nil, 5, true},
		{"restarted alone", func(s *sim) { s.restart(s.hosts[5]); s.hosts[5].side = 1 }, func(s *sim) { s.hosts[5].side = 0 }, 5, false},
		{"cut off alone", func(s *sim) { s.hosts[5].side = 1 }, func(s *sim) { s.hosts[5].side = 0 }, 5, false},
		{"cut off with a deposed leader", func(s *sim) {
			s.hosts[0].side, s.hosts[5].side, s.hosts[6].side = 1, 1, 1
			s.after(time.Second/2, func() { s.leaders[s.hosts[1]] = true })
		}, func(s *sim) {
			s.hosts[0].side, s.hosts[5].side, s.hosts[6].side = 0, 0, 0
			delete(s.leaders, s.hosts[0])
		}, 5, false},
		{"on the other side", func(s *sim) {
			s.hosts[0].side = 1
			s.after(time.Second/2, func() { s.leaders[s.hosts[1]] = true })
		}, func(s *sim) { s.hosts[0].side = 0; delete(s.leaders, s.hosts[0]) }, 5, true},
		{"slow answers", slow, nil, 5, true},
		{"no quorum", func(s *sim) { s.hosts[1].frozen, s.hosts[2].frozen = true, true }, func(s *sim) { s.hosts[1].frozen, s.hosts[2].frozen = false, false }, 0, false},
	} {
		s := newSim(3, 8, 1)
		require.NoError(t, s.run(2*time.Second), c.name)
		for i, h := range s.hosts {
			require.True(t, h.Valid(s.now), "%s: host %d has a proof at the start", c.name, i)
		}
		c.change(s)
		require.NoError(t, s.run(time.Second), c.name)
		s.commit()
		require.NoError(t, s.run(6*time.Second), c.name)
		require.Equal(t, c.kept, s.hosts[c.host].Valid(s.now), "%s: host %d after 7 s", c.name, c.host)
		if c.undo != nil {
			c.undo(s)
		}
		require.NoError(t, s.run(3*time.Second), c.name)
		for i, h := range s.hosts {
			require.True(t, h.Valid(s.now), "%s: host %d has a proof at the end", c.name, i)
			require.Equal(t, s.committed, h.table, "%s: host %d has the table at the end", c.name, i)
		}
	}
}

// TestQuietSecondLosesNoProof: guards against refusals during a change of leaders, with lost answers, and measures how many
// questions a host gets per second, for fleets of this year's and next year's size.
func TestQuietSecondLosesNoProof(t *testing.T) {
	for _, c := range []struct{ replicas, hosts, leaderRate, hostRate int }{{3, 6, 20, 20}, {8, 78, 50, 60}, {8, 1200, 80, 60}} {
		s := newSim(c.replicas, c.hosts, 2)
		require.NoError(t, s.run(4*time.Second))
		s.refused = 0
		for _, h := range s.hosts {
			h.asked = 0
		}
		require.NoError(t, s.run(4*time.Second))
		most := 0
		for i, h := range s.hosts {
			if i > 0 {
				most = max(most, h.asked/4)
			}
		}
		t.Logf("%d hosts, %d replicas: %d questions a second to the leader, %d to the busiest other host", c.hosts, c.replicas, s.hosts[0].asked/4, most)
		require.LessOrEqual(t, s.hosts[0].asked/4, c.leaderRate, "%d hosts", c.hosts)
		require.LessOrEqual(t, most, c.hostRate, "%d hosts", c.hosts)
		for i := range 4 {
			old, next := s.hosts[i%2], s.hosts[1-i%2]
			s.refused = 0
			old.frozen = true
			delete(s.leaders, old)
			require.NoError(t, s.run(time.Second))
			s.leaders[next] = true
			require.NoError(t, s.run(3*time.Second))
			require.Zero(t, s.refused, "%d hosts", c.hosts)
			old.frozen = false
			require.NoError(t, s.run(time.Second))
		}
	}
}

// TestNoOutdatedTableServes runs random histories of partitions, freezes, restarts, changes of leaders and slow messages.
func TestNoOutdatedTableServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, 6, rapid.Uint64().Draw(t, "seed"))
		longest := rapid.SampledFrom([]int{1, 20, 200, 600}).Draw(t, "delay")
		s.delay = func() time.Duration { return time.Duration(1+s.rand.IntN(longest)) * simStep }
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"freeze", "cut", "restart", "lead", "depose", "commit"}).Draw(t, "event") {
			case "freeze":
				h.frozen = !h.frozen
			case "cut":
				h.side = 1 - h.side
			case "restart":
				s.restart(h)
			case "lead":
				if h.replica {
					s.leaders[h] = true
				}
			case "depose":
				delete(s.leaders, h)
			case "commit":
				s.commit()
			}
			require.NoError(t, s.run(time.Duration(rapid.IntRange(1, 700).Draw(t, "steps of time"))*simStep))
		}
	})
}
