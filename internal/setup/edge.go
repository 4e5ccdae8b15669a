package setup

import (
	"net"
	"os"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Edge holds the settings of an edge node, which forwards requests according to a routing table.
type Edge struct {
	ID                 tier.NodeID   `json:"id" doc:"IP address at which other nodes reach this node; its certificate must contain it as a DNS name." allow:"an IP address"`
	Name               string        `json:"name" doc:"Display name." allow:"1 to 63 letters, digits and dashes"`
	Zone               tier.Zone     `json:"zone" doc:"Availability zone." allow:"1 to 63 letters, digits and dashes"`
	Region             tier.Region   `json:"region" doc:"Region that contains the zone." allow:"1 to 63 letters, digits and dashes"`
	Callers            string        `json:"callers" doc:"Address on which callers are served (HTTP)." allow:"ip:port"`
	Control            string        `json:"control" doc:"Address on which servers and operators are served (HTTP)." allow:"ip:port"`
	LinkPort           int           `json:"link_port" doc:"Port for streams between nodes (UDP, QUIC); the same on all nodes." allow:"1 to 65535" default:"7740"`
	GossipPort         int           `json:"gossip_port" doc:"Port for datagrams between nodes (UDP); the same on all nodes." allow:"1 to 65535" default:"7741"`
	Bind               tier.NodeID   `json:"bind" doc:"IP address on which other nodes are served, if different from id, as behind a relay." allow:"an IP address" default:"id"`
	Source             tier.NodeID   `json:"source" doc:"IP address from which connections to servers are opened; if empty, the system chooses it." allow:"an IP address"`
	Seeds              []tier.NodeID `json:"seeds" doc:"Ids of the nodes to contact first: three, at least one of which must be up when a node starts." allow:"1 to 9 IP addresses"`
	Bootstrap          bool          `json:"found" doc:"Whether this is the first start of the whole fleet; the seeds then bootstrap the control group." default:"false"`
	Data               string        `json:"data" doc:"Data folder; a node that has one holds a replica of the control log." allow:"a path"`
	Tolerance          int           `json:"tolerance" doc:"Number of control hosts whose loss the control group must tolerate." allow:"1 to 4" default:"1"`
	AnnounceIntervalMs tier.Millis   `json:"beat_ms" doc:"Interval at which servers announce themselves." unit:"ms" allow:"100 to 60000" default:"1000"`
	GraceMs            tier.Millis   `json:"grace_ms" doc:"Time from SIGTERM to the end of the process." unit:"ms" allow:"1000 to 600000" default:"6000"`
	TTLMs              tier.Millis   `json:"ttl_ms" doc:"How long callers may cache the list of nodes to use." unit:"ms" allow:"100 to 60000" default:"5000"`
	Repeats            Repeats       `json:"repeats" doc:"Budget for sub-requests beyond the first of each request, per service over the whole fleet."`
	Quota              Quota         `json:"quota" doc:"How exactly tenants' limits are kept over the whole fleet: in any window, a tenant's rate and burst, with these margins. The same on all nodes."`
	Cold               Cold          `json:"cold" doc:"Bound of the requests to a cold server in any second, for services whose routing table entry has a rate for cold servers."`
	Limits             EdgeLimits    `json:"limits" doc:"Limits on callers where the routing table sets none, and limits of the process."`
	Answers            Answers       `json:"answers" doc:"Limits on servers' answers; one that exceeds them ends its connection."`
	Revocation         Revocation    `json:"revocation" doc:"How soon the removal of a tenant's key holds."`
	TLS                TLS           `json:"tls" doc:"Certificate for connections between nodes; empty means a certificate generated at start and no verification, for networks that only the nodes can reach."`
	Log                Log           `json:"log" doc:"Logs, on standard output."`
}

// Repeats is the budget for sub-requests beyond the first of each request.
type Repeats struct {
	Percent  int         `json:"percent" doc:"Budget as a share of the requests." unit:"%" allow:"0 to 100" default:"10"`
	Fixed    int         `json:"fixed" doc:"Number of sub-requests allowed in addition to the share." allow:"0 to 1000000" default:"50"`
	WindowMs tier.Millis `json:"window_ms" doc:"Sliding window over which both apply." unit:"ms" allow:"1000 to 600000" default:"10000"`
}

// Revocation says how soon the removal of a tenant's key holds on nodes that cannot have heard of it.
type Revocation struct {
	Strict  bool        `json:"strict" doc:"Whether nodes refuse requests with keys while they do not know that their routing table is the newest. It must be the same on all nodes, like limit_ms." default:"false"`
	LimitMs tier.Millis `json:"limit_ms" doc:"Time after the acknowledgement of a routing table in which a key that it no longer lists is refused everywhere." unit:"ms" allow:"500 to 3600000" default:"5000"`
}

// Quota is the precision of tenants' limits.
type Quota struct {
	WindowMs tier.Millis `json:"window_ms" doc:"Sliding window over which tenants' limits are kept." unit:"ms" allow:"1000 to 600000" default:"5000"`
	Percent  int         `json:"percent" doc:"By how much a tenant's requests in a window may exceed its limit." unit:"%" allow:"4 to 100" default:"10"`
	Slack    int         `json:"slack" doc:"Number of requests in a window allowed in addition; each voter of the control group needs at least one of them for tenants with a low limit." allow:"9 to 1000000" default:"20"`
}

// Cold bounds the requests to a cold server in any second.
type Cold struct {
	Percent int `json:"percent" doc:"Bound as a share of the rate that the routing table sets for cold servers." unit:"%" allow:"100 to 1000" default:"150"`
	Fixed   int `json:"fixed" doc:"Number of requests allowed in addition to the share." allow:"1 to 1000000" default:"5"`
}

// EdgeLimits holds the limits on callers' requests and connections and the memory limit of the process.
type EdgeLimits struct {
	BodyBytes   int64       `json:"body_bytes" doc:"Largest request body." unit:"bytes" allow:"1024 to 16777216" default:"8388608"`
	HeaderBytes int         `json:"header_bytes" doc:"Largest request header." unit:"bytes" allow:"1024 to 1048576" default:"65536"`
	ReadMs      tier.Millis `json:"read_ms" doc:"Time limit for receiving a request's header." unit:"ms" allow:"100 to 60000" default:"10000"`
	BodyMs      tier.Millis `json:"body_ms" doc:"Time limit for receiving a request's body after its header." unit:"ms" allow:"100 to 600000" default:"30000"`
	IdleMs      tier.Millis `json:"idle_ms" doc:"How long an idle connection of a caller is kept open." unit:"ms" allow:"1000 to 600000" default:"75000"`
	MemoryMB    int         `json:"memory_mb" doc:"Memory limit of the process, near which garbage is collected more often; 0 means no limit." unit:"MB" allow:"0 to 1048576" default:"0"`
	CallerMB    int         `json:"caller_mb" doc:"Largest sum of what callers, servers and operators hold over all HTTP addresses: 20 KiB a connection, heads as parsed, bodies, unread answers; beyond it those that hold most are refused as not run or closed. 0 means a quarter of the memory limit." unit:"MB" allow:"0 to 1048576" default:"0"`
}

// EdgeDefaults returns settings with the default of every key that has one.
func EdgeDefaults() Edge {
	return Edge{
		LinkPort: 7740, GossipPort: 7741, Tolerance: 1, AnnounceIntervalMs: 1000, GraceMs: 6000, TTLMs: 5000,
		Repeats: Repeats{Percent: 10, Fixed: 50, WindowMs: 10000},
		Quota:   Quota{WindowMs: 5000, Percent: 10, Slack: 20},
		Cold:    Cold{Percent: 150, Fixed: 5},
		Limits:  EdgeLimits{BodyBytes: 8 << 20, HeaderBytes: 64 << 10, ReadMs: 10000, BodyMs: 30000, IdleMs: 75000},
		Answers: AnswerDefaults(), Revocation: Revocation{LimitMs: 5000},
		Log: Log{Level: "info", Format: "json"},
	}
}

// LoadEdge reads and validates the settings file of an edge node; the error is Problems if the content is invalid.
func LoadEdge(path string) (Edge, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, tier.At("read settings", path, err)
	}
	return ParseEdge(path, b)
}

// ParseEdge decodes and validates the text of an edge node's settings file; the error is Problems.
func ParseEdge(path string, text []byte) (Edge, error) {
	s := EdgeDefaults()
	c, err := decode(path, text, &s)
	if err != nil {
		return s, err
	}
	c.checkEdge(&s)
	if len(c.problems) > 0 {
		return s, c.problems
	}
	return s, nil
}

const (
	maxSeeds     = 9
	maxPort      = 65535
	maxTolerance = 4
)

// checkEdge checks the values, which the types do not restrict.
func (c *checker) checkEdge(s *Edge) {
	c.ip("id", string(s.ID))
	if s.Bind != "" {
		c.ip("bind", string(s.Bind))
	}
	if s.Source != "" {
		c.ip("source", string(s.Source))
	}
	c.name("name", s.Name)
	c.name("zone", string(s.Zone))
	c.name("region", string(s.Region))
	c.address("callers", s.Callers)
	c.address("control", s.Control)
	c.number("link_port", int64(s.LinkPort), 1, maxPort)
	c.number("gossip_port", int64(s.GossipPort), 1, maxPort)
	c.number("seeds", int64(len(s.Seeds)), 1, maxSeeds)
	for _, id := range s.Seeds {
		c.ip("seeds", string(id))
	}
	c.number("tolerance", int64(s.Tolerance), 1, maxTolerance)
	c.number("beat_ms", int64(s.AnnounceIntervalMs), 100, 60000)
	c.number("grace_ms", int64(s.GraceMs), 1000, 600000)
	c.number("ttl_ms", int64(s.TTLMs), 100, 60000)
	c.number("repeats.percent", int64(s.Repeats.Percent), 0, 100)
	c.number("repeats.fixed", int64(s.Repeats.Fixed), 0, 1000000)
	c.number("repeats.window_ms", int64(s.Repeats.WindowMs), 1000, 600000)
	c.number("quota.window_ms", int64(s.Quota.WindowMs), 1000, 600000)
	c.number("quota.percent", int64(s.Quota.Percent), 4, 100)
	c.number("quota.slack", int64(s.Quota.Slack), 9, 1000000)
	c.number("cold.percent", int64(s.Cold.Percent), 100, 1000)
	c.number("cold.fixed", int64(s.Cold.Fixed), 1, 1000000)
	c.number("limits.body_bytes", s.Limits.BodyBytes, 1024, 16<<20)
	c.number("limits.header_bytes", int64(s.Limits.HeaderBytes), 1024, 1<<20)
	c.number("limits.read_ms", int64(s.Limits.ReadMs), 100, 60000)
	c.number("limits.body_ms", int64(s.Limits.BodyMs), 100, 600000)
	c.number("limits.idle_ms", int64(s.Limits.IdleMs), 1000, 600000)
	c.number("limits.memory_mb", int64(s.Limits.MemoryMB), 0, 1<<20)
	c.number("limits.caller_mb", int64(s.Limits.CallerMB), 0, 1<<20)
	c.answers(s.Answers)
	c.number("revocation.limit_ms", int64(s.Revocation.LimitMs), 500, 3600000)
	c.files("tls", s.TLS, s.TLS != (TLS{}))
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
}

func (c *checker) ip(key, v string) {
	if net.ParseIP(v) == nil {
		c.addProblem(key, v, "an IP address")
	}
}
