package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	simStep  = 10 * time.Millisecond
	simLimit = 5 * time.Second
)

// simHost is a host of a simulated fleet.
type simHost struct {
	Holder
	replica bool
	table   vers.RoutesVersion
	frozen  bool
	// side is the side of a partition on which the host is.
	side int
	// life is the number of restarts.
	life int
	// asked counts the questions that the host received.
	asked int
}

// sim is a fleet of hosts, the first of which hold the replicas of a control group. It moves in steps of simStep.
type sim struct {
	now      time.Duration
	rand     *rand.Rand
	hosts    []*simHost
	replicas int
	index    map[tier.NodeID]*simHost
	due      map[time.Duration][]func()
	// delay returns the delay of the next message.
	delay func() time.Duration
	// leaders are the hosts that take themselves for the leader; committed is the newest version, acknowledged at acked.
	leaders   map[*simHost]bool
	committed vers.RoutesVersion
	acked     map[vers.RoutesVersion]time.Duration
	peers     []Peer
	// preferred holds the results of Preferred, as the hosts never change.
	preferred map[*simHost][]tier.NodeID
	refused   int
}

func newSim(replicas, hosts int, seed uint64) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), replicas: replicas, index: map[tier.NodeID]*simHost{}, due: map[time.Duration][]func(){}, committed: 1,
		leaders: map[*simHost]bool{}, preferred: map[*simHost][]tier.NodeID{}, acked: map[vers.RoutesVersion]time.Duration{1: 0}, delay: func() time.Duration { return simStep },
	}
	for i := range hosts {
		h := &simHost{replica: i < replicas, table: 1}
		h.Self = tier.NodeID(fmt.Sprintf("10.0.%d.%d", i/250, i%250))
		s.index[h.Self] = h
		s.hosts = append(s.hosts, h)
		s.peers = append(s.peers, Peer{h.Self, h.replica})
		s.restart(h)
	}
	s.leaders[s.hosts[0]] = true
	return s
}

func (s *sim) restart(h *simHost) {
	h.life++
	h.Holder = Holder{Self: h.Self, Lifetime: Lifetime(simLimit), Rand: s.rand}
	h.Start(s.now)
	h.Installed(h.table)
}

func (s *sim) after(d time.Duration, f func()) {
	at := (s.now + max(d, simStep)).Round(simStep)
	s.due[at] = append(s.due[at], f)
}

// deliver calls f at a host once it is not frozen.
func (s *sim) deliver(h *simHost, f func()) {
	if h.frozen {
		s.after(simStep, func() { s.deliver(h, f) })
		return
	}
	f()
}

// run moves the fleet on and returns an error if a host served with a table that was outdated for too long.
func (s *sim) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, f := range s.due[s.now] {
			f()
		}
		delete(s.due, s.now)
		for _, h := range s.hosts {
			if h.frozen {
				continue
			}
			if q, ok := h.Next(s.now, func() Sources { return s.sources(h) }); ok {
				s.ask(h, q)
			}
			if !h.Valid(s.now) {
				s.refused++
			} else if h.table < s.committed && s.now-s.acked[h.table+1] > simLimit {
				return fmt.Errorf("%v: %s serves with table %d, %v after the next one", s.now, h.Self, h.table, s.now-s.acked[h.table+1])
			}
		}
	}
	return nil
}

func (s *sim) sources(h *simHost) Sources {
	if s.preferred[h] == nil {
		others := slices.DeleteFunc(slices.Clone(s.peers), func(p Peer) bool { return p.ID == h.Self })
		s.preferred[h] = Preferred(h.Self, others)
	}
	return Sources{Replica: h.replica, Peers: s.preferred[h]}
}

// quorum reports whether a leader reaches more than half of the replicas.
func (s *sim) quorum(h *simHost) bool {
	n := 0
	for _, other := range s.hosts[:s.replicas] {
		if other.side == h.side && !other.frozen {
			n++
		}
	}
	return 2*n > s.replicas
}

func (s *sim) ask(h *simHost, q Ask) {
	life := h.life
	answer := func(a Answer) {
		s.deliver(h, func() {
			if life == h.life && h.Answered(s.now, q, a) {
				s.after(s.delay(), func() { s.install(h, s.index[q.To].table) })
			}
		})
	}
	if q.To == h.Self {
		s.after(s.delay(), func() {
			a := Answer{Known: s.leaders[h] && s.quorum(h), Version: s.committed}
			for other := range s.leaders {
				if !s.leaders[h] && other.side == h.side {
					a.Leader = other.Self
				}
			}
			answer(a)
		})
		return
	}
	to := s.index[q.To]
	s.after(s.delay(), func() {
		if to.side != h.side {
			return
		}
		s.deliver(to, func() {
			to.asked++
			a := to.Lend(s.now)
			s.after(s.delay(), func() {
				if to.side == h.side {
					answer(a)
				}
			})
		})
	})
}

func (s *sim) install(h *simHost, v vers.RoutesVersion) {
	if v > h.table && !h.frozen {
		h.table = v
		h.Installed(v)
	}
}

// commit commits a table through a leader that has a quorum; the hosts on its side get it after a while.
func (s *sim) commit() {
	for h := range s.leaders {
		if !s.quorum(h) {
			continue
		}
		s.committed++
		v := s.committed
		s.acked[v] = s.now
		s.install(h, v)
		for _, other := range s.hosts {
			s.after(s.delay(), func() {
				if other.side == h.side {
					s.install(other, v)
				}
			})
		}
		return
	}
}
