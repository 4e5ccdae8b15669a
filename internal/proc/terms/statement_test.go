package terms

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		text  string
		limit Rate
		state Validity
	}{
		{"", 0, Absent},
		{"  ", 0, Absent},
		{"27.5", 27.5, Stated},
		{" 5 ", 5, Stated},
		{"0", 0, Stated},
		{"0.25", 0.25, Stated},
		{"1e9", 1e9, Stated},
		{"-1", 0, Malformed},
		{"NaN", 0, Malformed},
		{"inf", 0, Malformed},
		{"1e999", 0, Malformed},
		{"5/s", 0, Malformed},
	} {
		limit, state := ParseLimit(c.text)
		require.Equal(t, c.state, state, c.text)
		require.InDelta(t, float64(c.limit), float64(limit), 1e-9, c.text)
	}
}

func TestParseLeaving(t *testing.T) {
	for _, c := range []struct {
		text    string
		leaving bool
	}{{"1", true}, {" true ", true}, {"", false}, {"0", false}, {"soon", false}} {
		require.Equal(t, c.leaving, ParseLeaving(c.text), c.text)
	}
}

func TestParsePause(t *testing.T) {
	for _, c := range []struct {
		text  string
		pause time.Duration
	}{
		{"2", 2 * time.Second},
		{" 0.25 ", 250 * time.Millisecond},
		{"1e12", maxPause},
		{"", 0},
		{"0", 0},
		{"-1", 0},
		{"NaN", 0},
		{"Fri, 04 Dec 2026 20:00:00 GMT", 0},
	} {
		require.Equal(t, c.pause, ParsePause(c.text), c.text)
	}
}
