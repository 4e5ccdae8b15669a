// Package stand simulates back-end servers: many stand-in servers in one process, with slots, connection limits,
// connection set-up times and cold starts, and with faults that are set over HTTP.
package stand

import (
	"encoding/json"
	"fmt"
	"os"

	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Spec describes the stand-in servers of one process.
type Spec struct {
	// Admin is the listen address of the HTTP interface for faults and counters.
	Admin string `json:"admin"`
	// Entries lists the addresses to which the servers send their announcements.
	Entries []string `json:"entries"`
	// Token is the bearer token of the announcements; none is sent if it is empty.
	Token string `json:"token"`
	// Host is the address of all servers. The first one listens on BasePort, each further one on the next port.
	Host     string `json:"host"`
	BasePort int    `json:"base_port"`
	// CA is the file with the CA of the entries. If empty, announcements use plain HTTP.
	CA string `json:"ca"`
	// Certs is a folder with SERVICE.pem and SERVICE.key, with which the servers serve TLS. If empty, they serve
	// plain HTTP.
	Certs string `json:"certs"`
	// Seed makes the work times repeatable.
	Seed uint64 `json:"seed"`
	// LeaseMs is the lease that the servers announce.
	LeaseMs tier.Millis `json:"lease_ms"`
	// Services lists the services and the layout of their servers.
	Services []Service `json:"services"`
}

// Service describes the servers of one service.
type Service struct {
	Name        tier.Service `json:"name"`
	Groups      int          `json:"groups"`
	Replicas    int          `json:"replicas"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	NewConnMs   float64      `json:"new_connection_ms"`
	WorkMs      float64      `json:"work_ms"`
	ColdMs      float64      `json:"cold_ms"`
	DataBytes   int          `json:"data_bytes"`
	Write       bool         `json:"write"`
	Zones       []tier.Zone  `json:"zones"`
	// Routed servers receive callers' requests as forwarded by the routing table. Each group is then a service of
	// its own, NAME-GROUP, and one shard of a gather.
	Routed bool `json:"routed"`
}

// serviceName returns the service name in the announcements of a group's servers.
func (s *Service) serviceName(group int) tier.Service {
	if !s.Routed {
		return s.Name
	}
	return tier.Service(fmt.Sprintf("%s-%d", s.Name, group))
}

// Fault changes the behaviour of the servers that Match selects: a glob on the server id, or the name of a zone.
type Fault struct {
	Match string `json:"match"`
	// Slow multiplies the work time; 0 leaves it unchanged.
	Slow float64 `json:"slow"`
	// StragglerShare is the fraction of requests that take StragglerFactor times the work time.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ShedShare is the fraction of requests that are refused as not run.
	ShedShare float64 `json:"shed_share"`
	// TruncateShare is the fraction of answers whose body is truncated.
	TruncateShare float64 `json:"truncate_share"`
	// DropShare is the fraction of requests whose connection is closed after the work, without an answer.
	DropShare float64 `json:"drop_share"`
	// MixShare is the fraction of answers that carry the id of another request.
	MixShare float64 `json:"mix_share"`
	// EndlessShare is the fraction of requests that are answered by bytes without end.
	EndlessShare float64 `json:"endless_share"`
	// Silent leaves all requests on the connections that are open now unanswered, even after the fault is cleared.
	Silent bool `json:"silent"`
	// Lie makes the servers report that they are idle.
	Lie bool `json:"lie"`
	// Drain makes the servers announce that they are draining.
	Drain bool `json:"drain"`
	// Limit is the number of requests per second that the servers name as their limit; 0 names none.
	Limit float64 `json:"limit"`
	// CutFrom lists the IP addresses of hosts that are cut off from the servers: their connections are reset, and new ones
	// too.
	CutFrom []string `json:"cut_from"`
	// Version makes the servers hold a new index version of Shards shards (0: one per group) in addition to the
	// present ones or, with DropOld, instead of them.
	Version tier.IndexVersion `json:"version"`
	Shards  tier.Shard        `json:"shards"`
	DropOld bool              `json:"drop_old"`
	// Poison is a text that makes a server crash when a request contains it.
	Poison string `json:"poison"`
	// RestartMs is the time after which a crashed server restarts; with 0 it stays down until Revive.
	RestartMs int `json:"restart_ms"`
	// Kill crashes the servers now, Revive restarts the crashed ones.
	Kill   bool `json:"kill"`
	Revive bool `json:"revive"`
}

// Counters counts requests, connections and crashes of one or more servers.
type Counters struct {
	Received  int64 `json:"received"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
	Shed      int64 `json:"shed"`
	Overrun   int64 `json:"overrun"`
	MaxOpen   int64 `json:"most_open"`
	MaxConns  int64 `json:"most_connections"`
	// OverLimit counts the requests beyond the limit that a server named.
	OverLimit int64 `json:"over_limit"`
	Deaths    int64 `json:"deaths"`
	Writes    int64 `json:"writes"`
	Doubled   int64 `json:"doubled"`
}

func (c *Counters) add(o Counters) {
	c.Received += o.Received
	c.Done += o.Done
	c.Cancelled += o.Cancelled
	c.Shed += o.Shed
	c.Overrun += o.Overrun
	c.MaxOpen = max(c.MaxOpen, o.MaxOpen)
	c.MaxConns = max(c.MaxConns, o.MaxConns)
	c.OverLimit += o.OverLimit
	c.Deaths += o.Deaths
	c.Writes += o.Writes
	c.Doubled += o.Doubled
}

// LoadSpec reads a stand-in description from a file of JSON with comments.
func LoadSpec(path string) (Spec, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, tier.At("read stand-in description", path, err)
	}
	return parseSpec(path, b)
}

func parseSpec(path string, b []byte) (Spec, error) {
	b, err := jsonc.Standardize(b)
	if err != nil {
		return Spec{}, tier.At("parse stand-in description", path, err)
	}
	var s Spec
	return s, tier.At("decode stand-in description", path, json.Unmarshal(b, &s))
}
