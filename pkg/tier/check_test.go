package tier

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNamesOfServers lists ids, services and zones that may and may not be used.
func TestNamesOfServers(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	for _, c := range []struct {
		name  string
		check error
		valid bool
	}{
		{"id", ServerID("i-7f3a91c2").Check(), true},
		{"longest id", ServerID(long[1:]).Check(), true},
		{"empty id", ServerID("").Check(), false},
		{"long id", ServerID(long).Check(), false},
		{"id with a space", ServerID("i 7").Check(), false},
		{"id with a line break", ServerID("i-7\r\nX-Other: 1").Check(), false},
		{"id that is no text", ServerID("i-\xff\xfe").Check(), false},
		{"id beyond ASCII", ServerID("i-é").Check(), false},
		{"service", Service("balcão 2").Check(), true},
		{"empty service", Service("").Check(), false},
		{"long service", Service(long).Check(), false},
		{"service with a control character", Service("a\x00").Check(), false},
		{"service that is no text", Service("\xff").Check(), false},
		{"zone", Zone("zg-a").Check(), true},
		{"empty zone", Zone("").Check(), true},
		{"long zone", Zone(long).Check(), false},
	} {
		require.Equal(t, c.valid, c.check == nil, "%s: %v", c.name, c.check)
	}
}

// TestAddressesOfServers lists addresses that can and cannot be dialed.
func TestAddressesOfServers(t *testing.T) {
	for _, c := range []struct {
		address string
		valid   bool
	}{
		{"10.0.0.1:80", true},
		{"10.0.0.1:1", true},
		{"10.0.0.1:65535", true},
		{"[fd00::1]:80", true},
		{"desk-1.example:80", true},
		{"localhost:80", true},
		{"", false},
		{"10.0.0.1", false},
		{"10.0.0.1:", false},
		{"10.0.0.1:0", false},
		{"10.0.0.1:65536", false},
		{"10.0.0.1:99999999999999999999", false},
		{"10.0.0.1:-1", false},
		{"10.0.0.1:+80", false},
		{"10.0.0.1:http", false},
		{"10.0.0.1:80:80", false},
		{"10.0.0.300:80", false},
		{"10.0.0.99999999999999999999:80", false},
		{"10.0.0.1 :80", false},
		{"0.0.0.0:80", false},
		{"[::]:80", false},
		{"224.0.0.1:80", false},
		{":80", false},
		{"[::1:80", false},
		{"a..b:80", false},
		{"é.example:80", false},
		{strings.Repeat("a", MaxNameBytes) + ":1", false},
	} {
		err := CheckAddress(c.address)
		require.Equal(t, c.valid, err == nil, "%.40s: %v", c.address, err)
	}
}
