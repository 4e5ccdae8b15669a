package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSoak runs real processes under faults for a few seconds, with servers that stutter all the time. The seed of a run
// that violated a guarantee is added here with its cause and stays.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sassafrasring")
	out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{seed: 1}, {seed: 2},
	} {
		f := &Fleet{Binary: binary, Dir: t.TempDir(), Seed: c.seed, Hosts: 4, Disks: 3, FaultDuration: 4 * time.Second, First: allStutter, Out: os.Stderr}
		r, err := f.Run(t.Context())
		require.NoError(t, err)
		require.Empty(t, r.Violations, "seed %d %s", c.seed, c.cause)
		require.Positive(t, r.Served)
		require.Positive(t, r.Tables)
		require.Positive(t, r.SecondAnswers)
		require.Positive(t, r.KeysRefused)
	}
}
