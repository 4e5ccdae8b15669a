package vers

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// document is a routing table file in the native format: JSON with comments.
type document struct {
	Version  *RoutesVersion  `json:"version"`
	Routes   []documentRoute `json:"routes"`
	Services []documentEntry `json:"services"`
	Limits   documentLimits  `json:"limits"`
	Tenants  documentTenants `json:"tenants"`
}

type documentRoute struct {
	Name       string         `json:"name"`
	Host       string         `json:"host"`
	Prefix     string         `json:"prefix"`
	Idempotent bool           `json:"idempotent"`
	Timeout    tier.Millis    `json:"timeout"`
	Target     tier.Millis    `json:"target"`
	Priority   int            `json:"priority"`
	Attempts   int            `json:"attempts"`
	Service    tier.Service   `json:"service"`
	Split      []documentPart `json:"split"`
	Gather     []tier.Service `json:"gather"`
	Top        int            `json:"top"`
	Least      float64        `json:"least"`
	Public     bool           `json:"public"`
}

// documentTenants is the list of tenants. A second list in one document is an error: encoding/json decodes it into the elements of
// the first one, so that a tenant without keys would get another one's.
type documentTenants []documentTenant

// UnmarshalJSON implements json.Unmarshaler.
func (l *documentTenants) UnmarshalJSON(b []byte) error {
	if *l != nil {
		return errors.New("tenants stands twice")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode((*[]documentTenant)(l))
}

type documentTenant struct {
	Name     tier.Tenant `json:"name"`
	Keys     []string    `json:"keys"`
	Rate     float64     `json:"rate"`
	Burst    float64     `json:"burst"`
	Priority *int        `json:"priority"`
}

type documentPart struct {
	Service tier.Service `json:"service"`
	Weight  float64      `json:"weight"`
}

type documentEntry struct {
	Name     tier.Service `json:"name"`
	Health   string       `json:"health"`
	Conns    int          `json:"connections"`
	ColdRate float64      `json:"cold"`
}

type documentLimits struct {
	Header int         `json:"header"`
	Body   int64       `json:"body"`
	Read   tier.Millis `json:"read"`
	Idle   tier.Millis `json:"idle"`
}

// DecodeRoutes decodes a routing table in the native format. Unknown fields are
// errors; otherwise a misspelt field would be treated as absent.
func DecodeRoutes(doc []byte) (*Routes, error) {
	plain, err := jsonc.Standardize(doc)
	if err != nil {
		return nil, errors.Wrap(err, "routing table")
	}
	var f document
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "routing table")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("routing table: one JSON value is expected")
	}
	if f.Version == nil {
		return nil, errors.New("routing table: version is missing")
	}
	t := &Routes{Version: *f.Version, Limits: CallerLimits{
		HeaderBytes: f.Limits.Header, BodyBytes: f.Limits.Body, HeaderTime: f.Limits.Read.Duration(), IdleTime: f.Limits.Idle.Duration(),
	}}
	for _, r := range f.Routes {
		t.Routes = append(t.Routes, r.route())
	}
	for _, s := range f.Services {
		t.Backends = append(t.Backends, Backend(s))
	}
	if f.Tenants != nil {
		t.Tenants = make([]Tenant, 0, len(f.Tenants))
	}
	for _, n := range f.Tenants {
		out := Tenant{Name: n.Name, Keys: n.Keys, Rate: n.Rate, Burst: n.Burst, HasPriority: n.Priority != nil}
		if n.Priority != nil {
			out.Priority = *n.Priority
		}
		t.Tenants = append(t.Tenants, out)
	}
	return t, nil
}

func (r *documentRoute) route() Route {
	out := Route{
		Name: r.Name, Host: Hostname(r.Host), Prefix: r.Prefix, Idempotent: r.Idempotent, Timeout: r.Timeout.Duration(),
		Target: r.Target.Duration(), Priority: r.Priority, Attempts: r.Attempts, Service: r.Service, Gather: r.Gather, Top: r.Top, MinShare: r.Least, Public: r.Public,
	}
	for _, p := range r.Split {
		out.Split = append(out.Split, Part(p))
	}
	return out
}
