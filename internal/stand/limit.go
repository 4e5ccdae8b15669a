package stand

import "time"

// Bounds on the requests to a server that names a limit: from limitGrace after it has first named it, limitWindow of time
// may bring limitFactor times what the limit allows, and limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitWatch counts the requests to a server that exceed the limit that it names. It is not safe for concurrent use.
type limitWatch struct {
	limit    float64
	since    time.Time
	arrivals []time.Time
}

// name sets the limit that the server names from now on; 0 ends it.
func (l *limitWatch) name(now time.Time, limit float64) {
	if limit == l.limit {
		return
	}
	if l.limit == 0 {
		l.since = now
	}
	l.limit, l.arrivals = limit, nil
}

// record counts a request and reports whether it exceeds the limit.
func (l *limitWatch) record(now time.Time) (exceeds bool) {
	if l.limit == 0 || now.Sub(l.since) < limitGrace {
		return false
	}
	for len(l.arrivals) > 0 && now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, now)
	return float64(len(l.arrivals)) > limitFactor*l.limit*limitWindow.Seconds()+limitSlack
}
