// Package load generates an open-loop load on the entries, checks every answer, and compares variants of the
// configuration.
package load

import (
	"encoding/json"
	"os"

	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/internal/stand"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Spec describes a load and, for an experiment, its variants.
type Spec struct {
	// Entries lists addresses of entries. The client balances the load over the entries that these report.
	Entries []string `json:"entries"`
	// Account and Secret are the callers' credentials.
	Account string `json:"account"`
	Secret  string `json:"secret"`
	// Operator and OperatorSecret are the credentials for configuration changes between variants.
	Operator       string `json:"operator"`
	OperatorSecret string `json:"operator_secret"`
	// Standins lists the admin addresses of the stand-in processes.
	Standins []string `json:"standins"`
	// Pids lists the processes whose CPU time is reported.
	Pids []int `json:"pids"`
	// Seed makes arrival times and request contents repeatable.
	Seed uint64 `json:"seed"`
	// WarmupSeconds is the duration of the load before the measurement, Seconds that of the measurement.
	WarmupSeconds float64 `json:"warmup_seconds"`
	Seconds       float64 `json:"seconds"`
	// Streams lists the request streams, which run concurrently.
	Streams []Stream `json:"streams"`
	// Events lists faults that are set during the measurement.
	Events []Event `json:"events"`
	// Variants lists the variants of an experiment; each runs Repeats times, at least once.
	Variants []Variant `json:"variants"`
	Repeats  int       `json:"repeats"`
}

// Stream is one kind of request at one rate.
type Stream struct {
	Service    tier.Service `json:"service"`
	Write      bool         `json:"write"`
	Rate       float64      `json:"rate"`
	Class      tier.Class   `json:"class"`
	DeadlineMs tier.Millis  `json:"deadline_ms"`
	// Host and Path select a route of the routing table. The stream then sends plain HTTP requests, which are
	// forwarded unchanged to stand-in servers with Routed set. Shards is the number of parts of a complete answer.
	// The route's top must allow the three records of each part; otherwise parts seem to be missing.
	Host   string `json:"host"`
	Path   string `json:"path"`
	Shards int    `json:"shards"`
	// Direct is the address of a server that holds the only shard of a service. The stream then sends its requests
	// to that server instead of an entry, as a baseline for the latency that the entries add.
	Direct string `json:"direct"`
	// ResendShare is the fraction of writes that are sent twice with the same key.
	ResendShare float64 `json:"resend_share"`
}

// Event sets a fault AtSeconds after the start of the measurement.
type Event struct {
	AtSeconds float64     `json:"at_seconds"`
	Fault     stand.Fault `json:"fault"`
}

// Variant is a named set of configuration defaults, with faults that last for the whole run and rates by service that
// replace those of the streams.
type Variant struct {
	Name     string             `json:"name"`
	Defaults []vers.Default     `json:"defaults"`
	Faults   []stand.Fault      `json:"faults"`
	RateOf   map[string]float64 `json:"rate_of"`
}

// ReadSpec reads a load description from a file of JSON with comments.
func ReadSpec(path string) (Spec, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, tier.At("read load description", path, err)
	}
	if b, err = jsonc.Standardize(b); err != nil {
		return Spec{}, tier.At("parse load description", path, err)
	}
	var s Spec
	return s, tier.At("decode load description", path, json.Unmarshal(b, &s))
}
