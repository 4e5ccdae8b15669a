package setup

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	hashHexDigits   = 64
	maxNameBytes    = 100
	maxControlHosts = 7
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

// checker collects the problems of one settings file with their line numbers.
type checker struct {
	file     string
	text     []byte
	root     hujson.Value
	problems Problems
}

func (c *checker) addProblem(key, value, allowed string) {
	c.problems = append(c.problems, Problem{File: c.file, Line: c.line(key), Key: key, Value: value, Allowed: allowed})
}

// line returns the line of a key such as limits.body_bytes or control[0].node, or of its closest parent in the file.
func (c *checker) line(key string) int {
	p := "/" + strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(key)
	for p != "" {
		if v := c.root.Find(p); v != nil {
			return lineAt(c.text, v.StartOffset)
		}
		p = p[:strings.LastIndex(p, "/")]
	}
	return 1
}

func lineAt(text []byte, offset int) int {
	return 1 + strings.Count(string(text[:min(max(offset, 0), len(text))]), "\n")
}

var errorLinePattern = regexp.MustCompile(`line (\d+)`)

func lineOfError(err error, _ []byte) int {
	if m := errorLinePattern.FindStringSubmatch(err.Error()); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return 1
}

// checkTypes checks the keys and the JSON types of v against a Go type.
func (c *checker) checkTypes(v hujson.Value, key string, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		c.checkObject(v, key, t)
	case reflect.Slice:
		c.checkList(v, key, t)
	default:
		c.checkScalar(v, key, t)
	}
}

func (c *checker) checkObject(v hujson.Value, key string, t reflect.Type) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addProblem(key, shorten(v), "an object")
		return
	}
	fields := fieldsOf(t)
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberKey := join(key, name)
		f, known := fields[name]
		switch {
		case !known:
			c.problems = append(c.problems, Problem{c.file, lineAt(c.text, m.Name.StartOffset), memberKey, "unknown key", "one of " + strings.Join(keyNames(t), ", ")})
		case seen[name]:
			c.problems = append(c.problems, Problem{c.file, lineAt(c.text, m.Name.StartOffset), memberKey, "repeated key", "each key once"})
		default:
			c.checkTypes(m.Value, memberKey, f.Type)
		}
		seen[name] = true
	}
}

func (c *checker) checkList(v hujson.Value, key string, t reflect.Type) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.addProblem(key, shorten(v), "a list")
		return
	}
	for i, e := range a.Elements {
		c.checkTypes(e, fmt.Sprintf("%s[%d]", key, i), t.Elem())
	}
}

func (c *checker) checkScalar(v hujson.Value, key string, t reflect.Type) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		c.addProblem(key, shorten(v), kindName(t.Kind()))
		return
	}
	want := kindName(t.Kind())
	switch {
	case want == "a string" && l.Kind() == '"':
	case want == "true or false" && (l.Kind() == 't' || l.Kind() == 'f'):
	case want == "a whole number" && l.Kind() == '0':
		if _, err := strconv.ParseInt(l.String(), 10, 64); err != nil {
			c.addProblem(key, l.String(), want)
		}
	default:
		c.addProblem(key, shorten(v), want)
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func shorten(v hujson.Value) string {
	s := strings.TrimSpace(v.String())
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	out := map[string]reflect.StructField{}
	for i := range t.NumField() {
		f := t.Field(i)
		out[f.Tag.Get("json")] = f
	}
	return out
}

func keyNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Tag.Get("json"))
	}
	return out
}

// checkSettings checks the values, which the types do not restrict.
func (c *checker) checkSettings(s *Settings) {
	c.name("node", string(s.Node))
	c.name("zone", string(s.Zone))
	c.roles(s)
	c.address("callers", s.Callers)
	c.address("advertise", s.Advertise)
	c.address("peers", s.Peers)
	c.control(s)
	c.files("tls", s.TLS, true)
	c.files("caller_tls", s.CallerTLS, false)
	c.serverTLS(s.ServerTLS)
	c.credentials("accounts", s.Accounts)
	c.credentials("operators", s.Operators)
	for i, h := range s.ServerTokens {
		c.hash(fmt.Sprintf("server_tokens[%d]", i), h)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.limits(s.Limits)
	c.answers(s.Answers)
}

func (c *checker) limits(l Limits) {
	c.number("limits.body_bytes", l.BodyBytes, 1024, 16<<20)
	c.number("limits.header_bytes", int64(l.HeaderBytes), 1024, 1<<20)
	c.number("limits.read_ms", int64(l.ReadMs), 100, 60000)
	c.number("limits.connections", int64(l.Connections), 1, 1000000)
	c.number("limits.fan_out", int64(l.FanOut), 1, 10000)
}

func (c *checker) name(key, v string) {
	if !namePattern.MatchString(v) {
		c.addProblem(key, strconv.Quote(v), "1 to 63 letters, digits and dashes")
	}
}

func (c *checker) roles(s *Settings) {
	if len(s.Roles) == 0 {
		c.addProblem("roles", "[]", "entry, control")
	}
	for i, r := range s.Roles {
		c.oneOf(fmt.Sprintf("roles[%d]", i), r, RoleEntry, RoleControl)
	}
	if s.HasRole(RoleControl) && s.Data == "" {
		c.addProblem("data", `""`, "a path; required with the control role")
	}
}

func (c *checker) address(key, v string) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || perr != nil || n < 1 || n > 65535 {
		c.addProblem(key, strconv.Quote(v), "ip:port with a port of 1 to 65535")
	}
}

func (c *checker) control(s *Settings) {
	if len(s.Control) == 0 || len(s.Control) > maxControlHosts {
		c.addProblem("control", fmt.Sprintf("%d hosts", len(s.Control)), "1 to 7 hosts")
	}
	seen := map[tier.NodeID]bool{}
	for i, p := range s.Control {
		entryKey := fmt.Sprintf("control[%d]", i)
		c.name(entryKey+".node", string(p.Node))
		c.address(entryKey+".peer", p.Address)
		if seen[p.Node] {
			c.addProblem(entryKey+".node", string(p.Node), "each host once")
		}
		seen[p.Node] = true
	}
	if !s.HasRole(RoleControl) && seen[s.Node] {
		c.addProblem("roles", "a list without control", "a list with control, since this node is listed in control")
	}
	if s.HasRole(RoleControl) && !seen[s.Node] {
		c.addProblem("control", "a list without "+string(s.Node), "a list with this node, since it has the control role")
	}
}

func (c *checker) files(key string, t TLS, required bool) {
	if !required && t == (TLS{}) {
		return
	}
	c.readableFile(key+".cert", t.Cert)
	c.readableFile(key+".key", t.Key)
	if required || t.CA != "" {
		c.readableFile(key+".ca", t.CA)
	}
}

func (c *checker) serverTLS(t TLS) {
	if t == (TLS{}) {
		return
	}
	c.readableFile("server_tls.ca", t.CA)
	if t.Cert != "" || t.Key != "" {
		c.readableFile("server_tls.cert", t.Cert)
		c.readableFile("server_tls.key", t.Key)
	}
}

func (c *checker) readableFile(key, path string) {
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		c.addProblem(key, strconv.Quote(path), "a file that can be read")
	}
}

func (c *checker) credentials(key string, list []Credential) {
	seen := map[string]bool{}
	for i, a := range list {
		entryKey := fmt.Sprintf("%s[%d]", key, i)
		if a.Name == "" || len(a.Name) > maxNameBytes || strings.Contains(a.Name, ":") {
			c.addProblem(entryKey+".name", strconv.Quote(a.Name), "1 to 100 bytes, no colon")
		}
		if seen[a.Name] {
			c.addProblem(entryKey+".name", strconv.Quote(a.Name), "each name once")
		}
		seen[a.Name] = true
		c.hash(entryKey+".sha256", a.SHA256)
	}
}

func (c *checker) hash(key, v string) {
	if _, err := hex.DecodeString(v); err != nil || len(v) != hashHexDigits {
		c.addProblem(key, "a value of "+strconv.Itoa(len(v))+" bytes", "64 hex digits")
	}
}

func (c *checker) oneOf(key, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.addProblem(key, strconv.Quote(v), strings.Join(allowed, ", "))
}

func (c *checker) number(key string, v, lower, upper int64) {
	if v < lower || v > upper {
		c.addProblem(key, strconv.FormatInt(v, 10), fmt.Sprintf("%d to %d", lower, upper))
	}
}
