package spread

import "sassafrasring.dev/sassafrasring/pkg/tier"

// NamesZone reports whether the record of a host or of a server, live or not, names a zone.
func (s *State) NamesZone(z tier.Zone) bool {
	for _, e := range s.hosts {
		if e.rec.Zone == z {
			return true
		}
	}
	for _, e := range s.servers {
		if e.rec.Zone == z {
			return true
		}
	}
	return false
}

// ZoneMembers is the number of live hosts and servers of a zone.
type ZoneMembers struct {
	Hosts, Servers int
}

// CountZones returns the live hosts and servers of each zone.
func (s *State) CountZones() map[tier.Zone]ZoneMembers {
	out := map[tier.Zone]ZoneMembers{}
	for _, e := range s.hosts {
		if e.rec.State != HostDown {
			c := out[e.rec.Zone]
			c.Hosts++
			out[e.rec.Zone] = c
		}
	}
	for _, e := range s.servers {
		if e.rec.Live() {
			c := out[e.rec.Zone]
			c.Servers++
			out[e.rec.Zone] = c
		}
	}
	return out
}
