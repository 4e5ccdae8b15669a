package conn

import "sassafrasring.dev/sassafrasring/pkg/tier"

// StrayKind is the kind of a Stray.
type StrayKind string

// Kinds of strays.
const (
	// StrayOther is an answer that names another request, or a signed one that names none.
	StrayOther StrayKind = "other"
	// StrayUnnamed is an unsigned answer without an ID, which may belong to another request.
	StrayUnnamed StrayKind = "unnamed"
	// StraySpliced is an answer that was cut and goes on with another one.
	StraySpliced StrayKind = "spliced"
	// StrayTrailing is bytes that follow the answer to the request.
	StrayTrailing StrayKind = "trailing"
)

// Use identifies one use of a connection to a server.
type Use struct {
	// Conn is the number of the connection among those that this node has opened to the server, starting at 1.
	Conn uint64
	// Place is the number of the request on the connection, starting at 1.
	Place int
}

// Stray is what a server sent while a request waited for its answer, and what does not answer it. It is discarded.
type Stray struct {
	Kind   StrayKind
	Server tier.ServerID
	Use    Use
	// Request is the ID of the waiting request.
	Request string
	// Answer is the ID in the answer, or "". Earlier is set if the connection has carried a request with that ID.
	Answer  string
	Earlier bool
	// Status is the status of the answer, or 0 for trailing bytes.
	Status int
}

// Repeat is a request that an idle connection to a server cannot carry, since it has carried one with the same ID.
type Repeat struct {
	Server  tier.ServerID
	Conn    uint64
	Request string
}
