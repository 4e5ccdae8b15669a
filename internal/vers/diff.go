package vers

import (
	"fmt"
	"sort"
)

// Diff describes the changes from a to b, one per line, sorted.
func Diff(a, b *Config) []string {
	var out []string
	for _, s := range Keys {
		if x, y := a.Get(s.Key), b.Get(s.Key); x != y {
			out = append(out, fmt.Sprintf("default %s: %d -> %d %s", s.Key, x, y, s.Unit))
		}
	}
	old, now := exceptionsByID(a), exceptionsByID(b)
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

func exceptionsByID(c *Config) map[string]Exception {
	m := make(map[string]Exception, len(c.Exceptions))
	for _, e := range c.Exceptions {
		m[e.ID] = e
	}
	return m
}

// String returns the exception as one line of text.
func (e Exception) String() string {
	return fmt.Sprintf("%s: %s=%d for %s %s (%s)", e.ID, e.Key, e.Value, e.Scope.Kind, e.Scope.Name, e.Reason)
}
