// Package seed sets a fixed seed for property tests, so that every run gives the same result.
package seed

import "flag"

const (
	flagName    = "rapid.seed"
	defaultSeed = "20261204"
)

// Fix sets the seed of the property tests unless the command line sets one. It is called
// by TestMain before the tests run.
func Fix() {
	flag.Parse()
	f := flag.Lookup(flagName)
	if f.Value.String() == f.DefValue {
		_ = f.Value.Set(defaultSeed)
	}
}
