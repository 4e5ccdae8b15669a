package spread

import (
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Packet is one datagram between nodes. Any part may be absent.
type Packet struct {
	From tier.NodeID `cbor:"1,keyasint"`
	Boot uint64      `cbor:"2,keyasint"`
	// Number asks for an acknowledgement; Ack gives one.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	Ack    uint64 `cbor:"4,keyasint,omitempty"`
	// Routes is the version of the sender's routing table.
	Routes vers.RoutesVersion `cbor:"5,keyasint,omitempty"`
	// Probe asks for an answer; Sum is the hash of all that the sender holds.
	Probe uint64 `cbor:"6,keyasint,omitempty"`
	Sum   uint64 `cbor:"7,keyasint,omitempty"`
	// Reply answers the probe of that number.
	Reply uint64 `cbor:"8,keyasint,omitempty"`
	// Digest asks the receiver for what differs.
	Digest  *Digest  `cbor:"9,keyasint,omitempty"`
	Hosts   []Host   `cbor:"10,keyasint,omitempty"`
	Servers []Server `cbor:"11,keyasint,omitempty"`
	// Faults are requests that were seen to break servers.
	Faults []Fault `cbor:"12,keyasint,omitempty"`
}

// Fault says that a server instance broke while it ran a request.
type Fault struct {
	Print  tier.Fingerprint `cbor:"1,keyasint"`
	Server tier.ServerID    `cbor:"2,keyasint"`
}

// Send is a packet with its receiver.
type Send struct {
	To     tier.NodeID
	Packet Packet
}

// Effects is what the driver of a State must do.
type Effects struct {
	Sends []Send
	// Servers are the records that changed, in their new version.
	Servers []Server
	// Hosts says that a record of a host changed.
	Hosts bool
	// Newer names a peer with a newer routing table, if not empty.
	Newer tier.NodeID
	// Faults came from other nodes.
	Faults []Fault
}
