package jsonc

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDepthIsLimited: guards against a deeply nested document that ends the process by a stack overflow.
func TestDepthIsLimited(t *testing.T) {
	nested := func(open, closing string, n int) string { return strings.Repeat(open, n) + strings.Repeat(closing, n) }
	const huge = 8 << 20
	for _, c := range []struct {
		name, doc      string
		valid, tooDeep bool
	}{
		{"shallow", `{"a": [1, {"b": []}]}`, true, false},
		{"deepest", nested("[", "]", MaxDepth), true, false},
		{"too deep", nested("[", "]", MaxDepth+1), false, true},
		{"objects", strings.Repeat(`{"a":`, huge/8), false, true},
		{"lists", strings.Repeat("[", huge), false, true},
		{"lists that end", nested("[", "]", huge), false, true},
		{"side by side", "[" + strings.Repeat("[],", 1000) + "[]]", true, false},
		{"in a string", `["` + strings.Repeat("[", 1000) + `"]`, true, false},
		{"after an escaped quote", `["\"` + strings.Repeat("[", 1000) + `"]`, true, false},
		{"after a backslash", `["\\", ` + nested("[", "]", MaxDepth) + "]", false, true},
		{"in a line comment", "[ // " + strings.Repeat("[", 1000) + "\n1]", true, false},
		{"after a line comment", "[ // x\n" + nested("[", "]", MaxDepth) + "]", false, true},
		{"in a comment", "[ /* " + strings.Repeat("[", 1000) + " */ 1]", true, false},
		{"after a comment", "[ /* * / */" + nested("[", "]", MaxDepth) + "]", false, true},
		{"comment without end", "[ /* " + strings.Repeat("[", 1000), false, false},
		{"string without end", `["` + strings.Repeat("[", 1000), false, false},
		{"slash", "[ / ]", false, false},
		{"slash at the end", "[ /", false, false},
		{"backslash at the end", `["\`, false, false},
	} {
		_, err := Parse([]byte(c.doc))
		plain, plainErr := Standardize([]byte(c.doc))
		require.Equal(t, c.valid, err == nil, "%s: %v", c.name, err)
		require.Equal(t, c.valid, plainErr == nil, "%s: %v", c.name, plainErr)
		require.Equal(t, c.valid, plain != nil, c.name)
		if c.tooDeep {
			require.ErrorIs(t, err, ErrTooDeep, c.name)
			require.ErrorIs(t, plainErr, ErrTooDeep, c.name)
		}
	}
}

func TestStandardizeKeepsItsInput(t *testing.T) {
	in := []byte("[1, /* one */ 2,]")
	out, err := Standardize(in)
	require.NoError(t, err)
	require.JSONEq(t, "[1,2]", string(out))
	require.Equal(t, "[1, /* one */ 2,]", string(in))
}
