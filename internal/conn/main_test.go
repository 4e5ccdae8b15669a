package conn

import (
	"testing"

	"go.uber.org/goleak"

	"sassafrasring.dev/sassafrasring/internal/seed"
)

// TestMain looks for goroutines that are left behind.
func TestMain(m *testing.M) {
	seed.Fix()
	goleak.VerifyTestMain(m)
}
