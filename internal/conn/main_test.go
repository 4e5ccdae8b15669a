package conn

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests, unless one is given, and
// looks for goroutines that are left behind.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == seed.DefValue {
		_ = seed.Value.Set("20261204")
	}
	goleak.VerifyTestMain(m)
}
