// Package node assembles a sassafrasring node from its components: settings, links to
// other nodes, control replica, subscription to the control leader, request engine and
// HTTP server.
package node

import (
	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// proposeReply is the reply to another node's proposal.
type proposeReply struct {
	Result store.Result `cbor:"1,keyasint"`
	Error  string       `cbor:"2,keyasint,omitempty"`
	Leader tier.NodeID  `cbor:"3,keyasint,omitempty"`
}

// adminKind is the kind of an admin request to the control leader.
type adminKind string

const (
	adminConfig   adminKind = "config"
	adminHistory  adminKind = "history"
	adminLagging  adminKind = "lagging"
	adminStatus   adminKind = "status"
	adminAdd      adminKind = "add"
	adminRemove   adminKind = "remove"
	adminTransfer adminKind = "hand"
	adminBackup   adminKind = "backup"
)

type adminRequest struct {
	Kind    adminKind          `cbor:"1,keyasint"`
	Node    tier.NodeID        `cbor:"2,keyasint,omitempty"`
	Version tier.ConfigVersion `cbor:"3,keyasint,omitempty"`
}

type adminReply struct {
	Error   string               `cbor:"1,keyasint,omitempty"`
	Leader  tier.NodeID          `cbor:"2,keyasint,omitempty"`
	Config  *vers.Config         `cbor:"3,keyasint,omitempty"`
	History []store.HistoryEntry `cbor:"4,keyasint,omitempty"`
	Lagging []tier.NodeID        `cbor:"5,keyasint,omitempty"`
	Status  *ctrl.Status         `cbor:"6,keyasint,omitempty"`
	Backup  []byte               `cbor:"7,keyasint,omitempty"`
}

// peerRequest asks another node for newer state. The reply has its configuration if that
// is newer than Config, and its differences in the membership if that is newer than Have.
type peerRequest struct {
	Config  tier.ConfigVersion `cbor:"1,keyasint"`
	Have    roster.Stamp       `cbor:"2,keyasint"`
	Digests []uint64           `cbor:"3,keyasint"`
}

// peerReply is the reply to a peerRequest. RenewedMs is the time since the peer sent its
// last heartbeat that was answered.
type peerReply struct {
	RenewedMs tier.Millis        `cbor:"1,keyasint"`
	Config    *vers.Config       `cbor:"2,keyasint,omitempty"`
	Table     *roster.HubMessage `cbor:"3,keyasint,omitempty"`
}
