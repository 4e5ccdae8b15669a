package reqst

import (
	"net/http"
	"strconv"
	"strings"

	"sassafrasring.dev/sassafrasring/internal/conn"
)

// answer makes the caller's answer from what the plan came to.
func (f *flight) answer() Outbound {
	p := f.plan
	if p.Covered() {
		if len(f.route.Gather) > 0 {
			return f.gathered()
		}
		return f.passed()
	}
	if f.failure != nil && len(f.route.Gather) == 0 {
		return f.passed()
	}
	why := p.Answer().Reason
	if !p.Ran() {
		return refusal(why, briefRetry)
	}
	if f.door.Clock.Now() >= f.deadline {
		return Outbound{Status: http.StatusGatewayTimeout, Reason: why}
	}
	return Outbound{Status: http.StatusBadGateway, Reason: why, RetryAfter: briefRetry}
}

// passed returns a server's own answer unchanged.
func (f *flight) passed() Outbound {
	h := f.failure.Header
	conn.StripHop(h)
	return Outbound{Status: f.failure.Status, Header: h, Body: f.failure.Body}
}

func (f *flight) gathered() Outbound {
	marks, data, missing := f.plan.Marks()
	names := &f.door.Names
	h := http.Header{}
	if names.Parts != "" {
		h.Set(names.Parts, strings.Join(marks, ", "))
	}
	h.Set(names.Missing, strconv.Itoa(missing))
	h.Set("Content-Type", "application/octet-stream")
	return Outbound{Status: http.StatusOK, Header: h, Body: mergeTop(data, f.route.Top)}
}
