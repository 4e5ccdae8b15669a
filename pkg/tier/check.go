package tier

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// MaxNameBytes limits the ids, services, zones and addresses of servers, so that several records fit into a datagram.
const MaxNameBytes = 200

const maxPort = 65535

// Check reports why an id cannot be used. It is sent in HTTP headers and log lines.
func (id ServerID) Check() error {
	if id == "" || len(id) > MaxNameBytes {
		return errors.Errorf("server: 1 to %d bytes are allowed", MaxNameBytes)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return errors.New("server: only visible ASCII characters are allowed")
		}
	}
	return nil
}

// Short returns the id cut to a length that fits a log line.
func (id ServerID) Short() ServerID { return id[:min(len(id), MaxNameBytes)] }

// Check reports why the name of a service cannot be used.
func (s Service) Check() error {
	if s == "" {
		return errors.Errorf("service: 1 to %d bytes are allowed", MaxNameBytes)
	}
	return checkText("service", string(s))
}

// Check reports why the name of a zone cannot be used; it may be empty.
func (z Zone) Check() error { return checkText("zone", string(z)) }

// Check validates a tenant name. It is sent in a header, so only visible ASCII characters are allowed.
func (t Tenant) Check() error {
	if t == "" || len(t) > MaxNameBytes {
		return errors.Errorf("tenant: 1 to %d bytes are allowed", MaxNameBytes)
	}
	for i := range len(t) {
		if t[i] <= ' ' || t[i] > '~' {
			return errors.New("tenant: only visible ASCII characters are allowed")
		}
	}
	return nil
}

func checkText(field, s string) error {
	switch {
	case len(s) > MaxNameBytes:
		return errors.Errorf("%s: at most %d bytes are allowed", field, MaxNameBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl):
		return errors.Errorf("%s: only printable text is allowed", field)
	}
	return nil
}

// CheckAddress reports why a server's address, host:port, cannot be dialed. The host is an IP address or a name.
func CheckAddress(address string) error {
	if len(address) > MaxNameBytes {
		return errors.Errorf("address: at most %d bytes are allowed", MaxNameBytes)
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New("address: host:port is required")
	}
	if n, err := strconv.ParseUint(port, 10, 64); err != nil || n < 1 || n > maxPort {
		return errors.Errorf("address: port 1 to %d is required", maxPort)
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		if ip.IsUnspecified() || ip.IsMulticast() {
			return errors.New("address: the IP address of one host is required")
		}
		return nil
	}
	if !isHostname(host) {
		return errors.New("address: the host is neither an IP address nor a name")
	}
	return nil
}

// isHostname reports whether s is a name of letters, digits, hyphens, underscores and dots whose last label is not a
// number, as it would be in a malformed IP address.
func isHostname(s string) bool {
	labels := strings.Split(strings.TrimSuffix(s, "."), ".")
	for _, l := range labels {
		if l == "" || strings.ContainsFunc(l, func(r rune) bool {
			return r > unicode.MaxASCII || (!unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_')
		}) {
			return false
		}
	}
	_, err := strconv.ParseUint(labels[len(labels)-1], 10, 64)
	return err != nil && !errors.Is(err, strconv.ErrRange)
}
