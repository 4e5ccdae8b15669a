package spread

import (
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/terms"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Packet is one gossip datagram between nodes. Every field other than From and Boot is optional.
type Packet struct {
	From tier.NodeID `cbor:"1,keyasint"`
	Boot uint64      `cbor:"2,keyasint"`
	// Number, if not 0, requests an acknowledgement; Ack is the Number that is acknowledged.
	Number uint64 `cbor:"3,keyasint,omitempty"`
	Ack    uint64 `cbor:"4,keyasint,omitempty"`
	// Routes is the version of the sender's routing table.
	Routes vers.RoutesVersion `cbor:"5,keyasint,omitempty"`
	// Probe, if not 0, requests a reply; Sum is the hash of all records that the sender holds.
	Probe uint64 `cbor:"6,keyasint,omitempty"`
	Sum   uint64 `cbor:"7,keyasint,omitempty"`
	// Reply is the number of the probe that this packet answers.
	Reply uint64 `cbor:"8,keyasint,omitempty"`
	// Digest requests the receiver's records in the buckets that differ.
	Digest  *Digest  `cbor:"9,keyasint,omitempty"`
	Hosts   []Host   `cbor:"10,keyasint,omitempty"`
	Servers []Server `cbor:"11,keyasint,omitempty"`
	// Faults are requests during which servers failed.
	Faults []Fault `cbor:"12,keyasint,omitempty"`
	// Last marks the end of the records that answer a digest.
	Last bool `cbor:"13,keyasint,omitempty"`
	// Notices tell what servers stated to the sender.
	Notices []terms.Notice `cbor:"14,keyasint,omitempty"`
	// Evacuations is the version of the sender's set of evacuated zones.
	Evacuations evac.Version `cbor:"16,keyasint,omitempty"`
	// Trials are the ends of trials of requests during which servers failed.
	Trials []Trial `cbor:"17,keyasint,omitempty"`
	// FaultSum is, in a probe, the hash of the faults and trials that the sender knows.
	FaultSum uint64 `cbor:"18,keyasint,omitempty"`
}

// Fault reports that a server failed while it ran a request.
type Fault struct {
	Fingerprint tier.Fingerprint `cbor:"1,keyasint"`
	Server      tier.ServerID    `cbor:"2,keyasint"`
	// AgeMs is the time since the failure.
	AgeMs tier.Millis `cbor:"3,keyasint,omitempty"`
	// Born is the start of the server in Unix milliseconds; 0 if the reporter did not know it.
	Born int64 `cbor:"4,keyasint,omitempty"`
	// Answered is set if the request had been answered before.
	Answered bool `cbor:"5,keyasint,omitempty"`
}

// Trial reports the end of a trial of a request during which servers had failed or, with Answered, that such a request
// was answered, in a trial or not.
type Trial struct {
	Fingerprint tier.Fingerprint `cbor:"1,keyasint"`
	ID          tier.TrialID     `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since then.
	AgeMs    tier.Millis `cbor:"3,keyasint,omitempty"`
	Answered bool        `cbor:"4,keyasint,omitempty"`
}

// faultBytes is the size of an encoded Fault with the longest id.
const faultBytes = tier.MaxNameBytes + 36

// trialBytes is the size of the longest encoded Trial.
const trialBytes = 32

// MaxKnownFaults is the maximum number of faults, and of trials, of which a host is told that has missed their reports.
const MaxKnownFaults = 48

// Send is a packet and its destination.
type Send struct {
	To     tier.NodeID
	Packet Packet
}

// Effects are the actions and notifications that a State produced for its driver.
type Effects struct {
	Sends []Send
	// Servers are the changed records, in their new version.
	Servers []Server
	// Hosts is set when the record of a host changed.
	Hosts bool
	// NewerRoutesPeer is a peer that has a newer routing table; empty if none does.
	NewerRoutesPeer tier.NodeID
	// NewerEvacuationsPeer is a peer that has a newer set of evacuated zones; empty if none does.
	NewerEvacuationsPeer tier.NodeID
	// Faults, Trials and Notices were received from other nodes.
	Faults  []Fault
	Trials  []Trial
	Notices []terms.Notice
}
