package tier

// HeaderNames are the names of the headers towards callers and servers, which
// depend on the platform. An empty name is a header that the platform lacks.
type HeaderNames struct {
	// RequestID correlates a request and its answer on every hop.
	RequestID string
	// Deadline is the time left, in milliseconds.
	Deadline string
	// Expect names the server for which a request is meant.
	Expect string
	// Server names the server that answers.
	Server string
	// Signature is the server's MAC of its answer; without one, any whole answer counts.
	Signature string
	// Parts lists the signatures of the parts of a gathered answer.
	Parts string
	// Missing is the number of parts that a gathered answer lacks.
	Missing string
	// NotRun marks a server's answer to a request that it did not run.
	NotRun string
	// Load is a server's load: running, waiting, slots and, on some platforms,
	// how long work takes in per cent of the usual.
	Load string
}

// DefaultHeaders are the product's own names.
func DefaultHeaders() HeaderNames {
	return HeaderNames{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Expect: "X-Expect-Server", Server: HeaderServer,
		Missing: "X-Missing-Parts", NotRun: HeaderNotRun, Load: HeaderLoad,
	}
}
