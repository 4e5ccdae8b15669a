package vers

import (
	"fmt"
	"sort"
)

// Diff lists what differs from a to b, one line each.
func Diff(a, b *Config) []string {
	var out []string
	for _, s := range Keys {
		if x, y := a.Get(s.Key), b.Get(s.Key); x != y {
			out = append(out, fmt.Sprintf("default %s: %d -> %d %s", s.Key, x, y, s.Unit))
		}
	}
	old, now := byID(a), byID(b)
	for id, e := range old {
		if n, ok := now[id]; !ok {
			out = append(out, "exception removed: "+e.String())
		} else if n != e {
			out = append(out, fmt.Sprintf("exception changed: %s -> %s", e, n))
		}
	}
	for id, e := range now {
		if _, ok := old[id]; !ok {
			out = append(out, "exception added: "+e.String())
		}
	}
	sort.Strings(out)
	return out
}

func byID(c *Config) map[string]Exception {
	m := make(map[string]Exception, len(c.Exceptions))
	for _, e := range c.Exceptions {
		m[e.ID] = e
	}
	return m
}

// String describes an exception on one line.
func (e Exception) String() string {
	return fmt.Sprintf("%s: %s=%d for %s %s (%s)", e.ID, e.Key, e.Value, e.Scope.Kind, e.Scope.Name, e.Reason)
}
