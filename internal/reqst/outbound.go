package reqst

import (
	"net/http"
	"strconv"
	"strings"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// answer builds the caller's answer from the state of the plan.
func (f *forwarding) answer() Outbound {
	p := f.plan
	if p.Covered() {
		if len(f.route.Gather) > 0 {
			return f.gatheredAnswer()
		}
		return f.serverAnswer()
	}
	if f.lastAnswer != nil && len(f.route.Gather) == 0 {
		return f.serverAnswer()
	}
	why := p.Answer().Reason
	if !p.Ran() {
		if why == tier.ReasonNoServer && f.permitAt > 0 {
			return refusal(tier.ReasonServerLimit, max(shortRetryAfter, f.permitAt-f.forwarder.Clock.Now()))
		}
		return refusal(why, shortRetryAfter)
	}
	if f.forwarder.Clock.Now() >= f.deadline {
		return Outbound{Status: http.StatusGatewayTimeout, Reason: why}
	}
	return Outbound{Status: http.StatusBadGateway, Reason: why, RetryAfter: shortRetryAfter}
}

// serverAnswer returns the server's own answer without its hop-by-hop headers; the answer to HEAD keeps the length of the body that
// GET would get, if it has one. A refusal is not passed on for a request
// that may run once only, because the server did not say that it had not run it.
func (f *forwarding) serverAnswer() Outbound {
	if !f.route.Idempotent && saysNotRun(f.lastAnswer.Status) {
		return Outbound{Status: http.StatusBadGateway, Reason: tier.ReasonServerError}
	}
	h := f.lastAnswer.Header
	length := h["Content-Length"]
	conn.StripHopHeaders(h)
	if f.in.Method == http.MethodHead {
		h["Content-Length"] = length
	}
	return Outbound{Status: f.lastAnswer.Status, Header: h, Body: f.lastAnswer.Body}
}

func (f *forwarding) gatheredAnswer() Outbound {
	signatures, data, missing := f.plan.CoveredParts()
	names := &f.forwarder.Names
	h := http.Header{}
	if names.Parts != "" {
		h.Set(names.Parts, strings.Join(signatures, ", "))
	}
	h.Set(names.Missing, strconv.Itoa(missing))
	h.Set("Content-Type", "application/octet-stream")
	return Outbound{Status: http.StatusOK, Header: h, Body: mergeTop(data, f.route.Top)}
}
