package frame

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type testRecord struct {
	ID    string `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint,omitempty"`
}

type testPacket struct {
	From    string       `cbor:"1,keyasint"`
	Records []testRecord `cbor:"2,keyasint,omitempty"`
	Sum     *[2]uint32   `cbor:"3,keyasint,omitempty"`
}

// TestUnreadableRecordsAreLeftOut: guards against one record of another type that costs all records that travel or are
// stored with it.
func TestUnreadableRecordsAreLeftOut(t *testing.T) {
	type m = map[uint64]any
	sound := m{1: "a", 2: 4}
	for _, c := range []struct {
		name    string
		in      any
		records []testRecord
		dropped int
		valid   bool
	}{
		{"sound", m{1: "n", 2: []any{sound}}, []testRecord{{"a", 4}}, 0, true},
		{"unknown fields", m{1: "n", 2: []any{m{1: "a", 2: 4, 9: []any{1}}}, 8: "x"}, []testRecord{{"a", 4}}, 0, true},
		{"number out of range", m{1: "n", 2: []any{sound, m{1: "b", 2: uint64(1) << 63}}}, []testRecord{{"a", 4}}, 1, true},
		{"number too large for a float", m{1: "n", 2: []any{m{1: "b", 2: 1e300}, sound}}, []testRecord{{"a", 4}}, 1, true},
		{"wrong type", m{1: "n", 2: []any{m{1: 5}, sound, m{1: []any{}}}}, []testRecord{{"a", 4}}, 2, true},
		{"no record", m{1: "n", 2: []any{"x", sound}}, []testRecord{{"a", 4}}, 1, true},
		{"no list", m{1: "n", 2: "x"}, nil, 1, true},
		{"text that is not UTF-8", m{1: "n", 2: []any{m{1: "\xff"}, sound}}, []testRecord{{"\xff", 0}, {"a", 4}}, 0, true},
		{"another field of the wrong type", m{1: 7, 2: []any{sound}}, nil, 0, false},
		{"an array of the wrong type", m{1: "n", 2: []any{sound}, 3: "x"}, nil, 0, false},
		{"no map", []any{1}, nil, 0, false},
	} {
		b, err := Marshal(c.in)
		require.NoError(t, err, c.name)
		var p testPacket
		dropped, err := UnmarshalRecords(b, &p)
		require.Equal(t, c.valid, err == nil, "%s: %v", c.name, err)
		if !c.valid {
			continue
		}
		require.Equal(t, "n", p.From, c.name)
		require.Equal(t, c.records, p.Records, c.name)
		require.Equal(t, c.dropped, dropped, c.name)
	}
}
