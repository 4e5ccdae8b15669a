package reqst

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/proc/pace"
)

func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		text string
		want pace.Load
	}{
		{"3,1,8", pace.Load{Running: 3, Waiting: 1, Slots: 8}},
		{" 3 , 1 , 8 , 250 ", pace.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5}},
		{"3,1,8,250,7", pace.Load{Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5}},
		{"", pace.Load{}},
		{"3", pace.Load{}},
		{"3,1", pace.Load{}},
		{"3,x,8", pace.Load{}},
		{"3,-1,8", pace.Load{}},
		{"3,1,8,x", pace.Load{}},
		{"3,9223372036854775807,8", pace.Load{}},
		{"3,1,99999999999999999999", pace.Load{}},
	} {
		require.Equal(t, c.want, parseLoad(c.text), c.text)
	}
}
