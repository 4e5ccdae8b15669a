package tier

import "strings"

// HeaderNames holds the names of the HTTP headers exchanged with callers and servers, which depend on the platform. An
// empty name means that the platform does not have the header.
type HeaderNames struct {
	// RequestID correlates a request and its response on every hop.
	RequestID string
	// Deadline is the remaining time in milliseconds.
	Deadline string
	// Expect is the id of the server that the request is addressed to.
	Expect string
	// Server is the id of the server that sent the response.
	Server string
	// Signature is the MAC of a server's response; if this name is empty, every complete response is accepted.
	Signature string
	// Parts lists the signatures of the responses that make up a gathered answer.
	Parts string
	// Missing is the number of parts missing from a gathered answer.
	Missing string
	// NotRun marks a server's response to a request that it did not run.
	NotRun string
	// Load is a server's load: running requests, waiting requests, slots and, on some platforms, the duration of work
	// in percent of the usual duration.
	Load string
	// Limit is the number of requests per second that a server accepts from all hosts together.
	Limit string
	// Leaving says that a server is about to stop.
	Leaving string
	// Credential is the key by which a caller is assigned to a tenant; it goes no further than the host that receives it.
	Credential string
	// Tenant is the name of the caller's tenant, which is set for servers.
	Tenant string
}

// DefaultHeaders returns the product's own header names.
func DefaultHeaders() HeaderNames {
	return HeaderNames{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Expect: "X-Expect-Server", Server: HeaderServer,
		Missing: "X-Missing-Parts", NotRun: HeaderNotRun, Load: HeaderLoad, Limit: HeaderLimit, Leaving: HeaderLeaving,
		Credential: "X-Credential", Tenant: "X-Tenant",
	}
}

// Reads reports whether the tier itself reads a header of servers' answers, given by its canonical name.
func (n *HeaderNames) Reads(name string) bool {
	switch name {
	case "Connection", "Content-Encoding", "Content-Length", "Content-Type", "Date", "Keep-Alive", "Retry-After", "Transfer-Encoding":
		return true
	}
	for _, own := range []string{n.RequestID, n.Server, n.Signature, n.NotRun, n.Load, n.Limit, n.Leaving} {
		if own != "" && strings.EqualFold(own, name) {
			return true
		}
	}
	return false
}
