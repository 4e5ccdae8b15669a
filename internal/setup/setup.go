// Package setup reads and validates a node's settings file, which is JSON with comments.
package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Roles of a node.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Settings holds all settings of a node. The tags doc, unit, default and allow describe each key; docs/SETTINGS.md is
// generated from them.
type Settings struct {
	Node         tier.NodeID  `json:"node" doc:"Name of the node, unique in the fleet; its certificate must contain it as a DNS name." allow:"1 to 63 letters, digits and dashes"`
	Zone         tier.Zone    `json:"zone" doc:"Availability zone." allow:"1 to 63 letters, digits and dashes"`
	Roles        []string     `json:"roles" doc:"Roles of the node." allow:"entry, control" default:"[\"entry\"]"`
	Callers      string       `json:"callers" doc:"Address on which callers, servers and operators are served (HTTP)." allow:"ip:port"`
	Advertise    string       `json:"advertise" doc:"Address returned to callers, if different from callers." allow:"ip:port" default:"callers"`
	Peers        string       `json:"peers" doc:"Address on which other nodes are served (QUIC)." allow:"ip:port"`
	Data         string       `json:"data" doc:"Data folder of the control role." allow:"a path; required with the control role"`
	Bootstrap    bool         `json:"found" doc:"Whether this node bootstraps the control cluster once every control host has contacted it and none holds state." default:"false"`
	Control      []conn.Peer  `json:"control" doc:"Control hosts: node name and address for other nodes (peer)." allow:"1 to 7 hosts"`
	TLS          TLS          `json:"tls" doc:"Certificate for connections between nodes; mutual TLS is always on."`
	CallerTLS    TLS          `json:"caller_tls" doc:"Certificate for connections from callers, servers and operators; empty means plain HTTP. With ca, clients must present a certificate signed by it."`
	ServerTLS    TLS          `json:"server_tls" doc:"TLS for connections to servers; empty means plain HTTP. A server's certificate must be signed by ca and contain its service as a DNS name; cert and key are presented to servers that request a client certificate."`
	Accounts     []Credential `json:"accounts" doc:"Accounts of callers."`
	Operators    []Credential `json:"operators" doc:"Accounts of operators."`
	ServerTokens []string     `json:"server_tokens" doc:"SHA-256 of the tokens with which servers may announce themselves, in hex." allow:"64 hex digits each"`
	Log          Log          `json:"log" doc:"Logs, on standard error."`
	Limits       Limits       `json:"limits" doc:"Limits on callers."`
	Answers      Answers      `json:"answers" doc:"Limits on servers' answers; one that exceeds them ends its connection."`
}

// TLS holds the paths of PEM files.
type TLS struct {
	CA   string `json:"ca" doc:"File with the CA's certificate." allow:"a path"`
	Cert string `json:"cert" doc:"File with the certificate." allow:"a path"`
	Key  string `json:"key" doc:"File with the private key." allow:"a path"`
}

// Credential is an account name with the hash of its secret.
type Credential struct {
	Name   string `json:"name" doc:"Name of the account." allow:"1 to 100 bytes, no colon"`
	SHA256 string `json:"sha256" doc:"SHA-256 of the secret, in hex (sassafrasring hash)." allow:"64 hex digits"`
}

// Log sets the level and the format of the logs.
type Log struct {
	Level  string `json:"level" doc:"Minimum level." allow:"debug, info, warn, error" default:"info"`
	Format string `json:"format" doc:"Format of the lines." allow:"json, text" default:"json"`
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	BodyBytes   int64       `json:"body_bytes" doc:"Largest request body." unit:"bytes" allow:"1024 to 16777216" default:"1048576"`
	HeaderBytes int         `json:"header_bytes" doc:"Largest request header." unit:"bytes" allow:"1024 to 1048576" default:"16384"`
	ReadMs      tier.Millis `json:"read_ms" doc:"Time limit for receiving a whole request." unit:"ms" allow:"100 to 60000" default:"5000"`
	Connections int         `json:"connections" doc:"Maximum number of connections of callers, servers and operators." allow:"1 to 1000000" default:"20000"`
	FanOut      int         `json:"fan_out" doc:"Maximum number of shards in one query." allow:"1 to 10000" default:"1000"`
}

// Defaults returns settings with the default of every key that has one.
func Defaults() Settings {
	return Settings{
		Roles:   []string{RoleEntry},
		Log:     Log{Level: "info", Format: "json"},
		Limits:  Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10, ReadMs: 5000, Connections: 20000, FanOut: 1000},
		Answers: AnswerDefaults(),
	}
}

// HasRole reports whether the node has a role.
func (s *Settings) HasRole(role string) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Problem is one validation error in a settings file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s is not allowed; allowed: %s", p.File, p.Line, p.Key, p.Value, p.Allowed)
}

// Problems holds all validation errors of a settings file.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file; the error is Problems if the content is invalid.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, tier.At("read settings", path, err)
	}
	return Parse(path, b)
}

// Parse decodes and validates the text of a settings file; the error is Problems.
func Parse(path string, text []byte) (Settings, error) {
	s := Defaults()
	c, err := decode(path, text, &s)
	if err != nil {
		return s, err
	}
	if s.Advertise == "" {
		s.Advertise = s.Callers
	}
	c.checkSettings(&s)
	if len(c.problems) > 0 {
		return s, c.problems
	}
	return s, nil
}

// decode checks the keys and types of a file and decodes it into out, a pointer to settings that hold the defaults. The
// error is Problems.
func decode(path string, text []byte, out any) (*checker, error) {
	root, err := jsonc.Parse(text)
	if err != nil {
		return nil, Problems{{File: path, Line: lineOfError(err, text), Key: "(file)", Value: err.Error(), Allowed: "JSON with comments"}}
	}
	c := &checker{file: path, text: text, root: root}
	c.checkTypes(root, "", reflect.TypeOf(out).Elem())
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	plain, err := jsonc.Standardize(text)
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(plain)).Decode(out)
	}
	if err != nil {
		return nil, Problems{{File: path, Line: 1, Key: "(file)", Value: err.Error(), Allowed: "values of the types in the schema"}}
	}
	return c, nil
}
