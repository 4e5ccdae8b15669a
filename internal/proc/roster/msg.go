package roster

import (
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// NodeMessage is a message from a node to the hub. The first one on a stream carries Node, Digests and all servers that
// announce themselves at the node; later ones carry changes. Have is the state that the node has applied, Beat the
// number of a heartbeat, 0 for none.
type NodeMessage struct {
	Node    *Node              `cbor:"1,keyasint,omitempty"`
	Digests []uint64           `cbor:"2,keyasint,omitempty"`
	Have    Stamp              `cbor:"3,keyasint"`
	Config  tier.ConfigVersion `cbor:"4,keyasint"`
	Beat    uint64             `cbor:"5,keyasint"`
	Servers []Server           `cbor:"6,keyasint,omitempty"`
	Gone    []Gone             `cbor:"7,keyasint,omitempty"`
	Leaving bool               `cbor:"8,keyasint,omitempty"`
}

// Gone says that an instance of a server no longer announces itself at the sender.
type Gone struct {
	Server   tier.ServerID `cbor:"1,keyasint"`
	Instance tier.Instance `cbor:"2,keyasint"`
}

// HubMessage is a message from the hub to a node. The field Whole contains the numbers of the buckets whose records the
// message carries in full; all other records are changes since the last message. Beat is the number of the heartbeat
// that the message acknowledges.
type HubMessage struct {
	Stamp       Stamp           `cbor:"1,keyasint"`
	Settled     Stamp           `cbor:"2,keyasint"`
	Beat        uint64          `cbor:"3,keyasint"`
	Whole       []int           `cbor:"4,keyasint,omitempty"`
	Nodes       []Node          `cbor:"5,keyasint,omitempty"`
	Servers     []Server        `cbor:"6,keyasint,omitempty"`
	GoneNodes   []tier.NodeID   `cbor:"7,keyasint,omitempty"`
	GoneServers []tier.ServerID `cbor:"8,keyasint,omitempty"`
	Config      *vers.Config    `cbor:"9,keyasint,omitempty"`
	Poison      *Poison         `cbor:"10,keyasint,omitempty"`
	// NotLeader rejects a subscription; Leader is the known leader, if any.
	NotLeader bool        `cbor:"11,keyasint,omitempty"`
	Leader    tier.NodeID `cbor:"12,keyasint,omitempty"`
}

// Poison is the list of suspected and quarantined requests.
type Poison struct {
	Suspects []store.Suspect `cbor:"1,keyasint"`
}
