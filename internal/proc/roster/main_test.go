package roster

import (
	"os"
	"testing"

	"sassafrasring.dev/sassafrasring/internal/seed"
)

func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}
