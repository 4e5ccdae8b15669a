package vers

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Limits of the number of exceptions and of the length of their texts.
const (
	MaxExceptions = 500
	MaxTextBytes  = 1024
)

// Exception overrides one default within a scope. Times are wall-clock
// milliseconds since the Unix epoch; ExpiresMs 0 means that it never expires.
type Exception struct {
	ID        string        `json:"id" cbor:"1,keyasint"`
	Key       Key           `json:"key" cbor:"2,keyasint"`
	Scope     Scope         `json:"scope" cbor:"3,keyasint"`
	Value     int64         `json:"value" cbor:"4,keyasint"`
	Reason    string        `json:"reason" cbor:"5,keyasint"`
	Author    tier.Operator `json:"author" cbor:"6,keyasint"`
	AtMs      int64         `json:"at_ms" cbor:"7,keyasint"`
	ExpiresMs int64         `json:"expires_ms,omitempty" cbor:"8,keyasint,omitempty"`
}

// Default sets a fleet-wide value.
type Default struct {
	Key   Key   `json:"key" cbor:"1,keyasint"`
	Value int64 `json:"value" cbor:"2,keyasint"`
}

// Config is one accepted version of the configuration. It is immutable.
type Config struct {
	Version    tier.ConfigVersion `json:"version" cbor:"1,keyasint"`
	Defaults   []Default          `json:"defaults" cbor:"2,keyasint"`
	Exceptions []Exception        `json:"exceptions" cbor:"3,keyasint"`
}

// MarshalJSON encodes empty lists as [] instead of null.
func (c *Config) MarshalJSON() ([]byte, error) {
	type plain Config
	p := plain(*c)
	p.Defaults, p.Exceptions = append([]Default{}, p.Defaults...), append([]Exception{}, p.Exceptions...)
	b, err := json.Marshal(p)
	return b, errors.Wrap(err, "encode configuration")
}

// Get returns the value of k: the exception of the first scope that has one,
// else the fleet's default, else the built-in default.
func (c *Config) Get(k Key, scopes ...Scope) int64 {
	for _, s := range scopes {
		for i := range c.Exceptions {
			if e := &c.Exceptions[i]; e.Key == k && e.Scope == s {
				return e.Value
			}
		}
	}
	for _, d := range c.Defaults {
		if d.Key == k {
			return d.Value
		}
	}
	spec, _ := Spec(k)
	return spec.Default
}

// Drained returns the names of all nodes or servers (by kind) that an exception drains.
func (c *Config) Drained(kind ScopeKind) map[string]bool {
	set := map[string]bool{}
	for i := range c.Exceptions {
		if e := &c.Exceptions[i]; e.Key == KeyDrain && e.Scope.Kind == kind && e.Value == 1 {
			set[e.Scope.Name] = true
		}
	}
	return set
}

// Edit is one step of a change. Exactly one field is set; Remove is the ID of
// an exception, and Revert the configuration whose content is restored.
type Edit struct {
	Set    *Default   `json:"set,omitempty" cbor:"1,keyasint,omitempty"`
	Add    *Exception `json:"add,omitempty" cbor:"2,keyasint,omitempty"`
	Remove string     `json:"remove,omitempty" cbor:"3,keyasint,omitempty"`
	Revert *Config    `json:"revert,omitempty" cbor:"4,keyasint,omitempty"`
}

// Change requests a new version based on version Base. A change that is sent
// again with the same ID gets the outcome of the first attempt.
type Change struct {
	ID     tier.ChangeID      `json:"id" cbor:"1,keyasint"`
	Base   tier.ConfigVersion `json:"base" cbor:"2,keyasint"`
	Author tier.Operator      `json:"author" cbor:"3,keyasint"`
	Reason string             `json:"reason" cbor:"4,keyasint"`
	Edits  []Edit             `json:"edits" cbor:"5,keyasint"`
}

// Apply returns the configuration that results from ch. The result is validated
// as a whole; if it is invalid, no edit takes effect.
func (c *Config) Apply(ch Change) (*Config, error) {
	next := &Config{Version: c.Version + 1}
	next.Defaults = append(next.Defaults, c.Defaults...)
	next.Exceptions = append(next.Exceptions, c.Exceptions...)
	if len(ch.Edits) == 0 {
		return nil, errors.New("change has no edits")
	}
	for _, e := range ch.Edits {
		if err := next.applyEdit(e); err != nil {
			return nil, err
		}
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	return next, nil
}

func (c *Config) applyEdit(e Edit) error {
	switch {
	case e.Set != nil:
		c.setDefault(*e.Set)
	case e.Add != nil:
		c.Exceptions = append(c.Exceptions, *e.Add)
	case e.Remove != "":
		return c.removeException(e.Remove)
	case e.Revert != nil:
		c.Defaults = append([]Default(nil), e.Revert.Defaults...)
		c.Exceptions = append([]Exception(nil), e.Revert.Exceptions...)
	default:
		return errors.New("edit is empty")
	}
	return nil
}

// setDefault adds a default or replaces the one of the same key.
func (c *Config) setDefault(d Default) {
	for i := range c.Defaults {
		if c.Defaults[i].Key == d.Key {
			c.Defaults[i].Value = d.Value
			return
		}
	}
	c.Defaults = append(c.Defaults, d)
}

func (c *Config) removeException(id string) error {
	for i := range c.Exceptions {
		if c.Exceptions[i].ID == id {
			c.Exceptions = append(c.Exceptions[:i:i], c.Exceptions[i+1:]...)
			return nil
		}
	}
	return errors.Errorf("no exception %q", id)
}

// Validate checks all defaults and exceptions.
func (c *Config) Validate() error {
	for _, d := range c.Defaults {
		spec, ok := Spec(d.Key)
		if !ok {
			return errors.Errorf("unknown key %q", d.Key)
		}
		if d.Key == KeyDrain {
			return errors.New("drain has no default; add an exception for a node or server")
		}
		if err := spec.checkValue(d.Value); err != nil {
			return err
		}
	}
	if len(c.Exceptions) > MaxExceptions {
		return errors.Errorf("%d exceptions; at most %d are allowed", len(c.Exceptions), MaxExceptions)
	}
	return c.validateExceptions()
}

// validateExceptions checks each exception, and that no two have the same ID or
// the same key and scope.
func (c *Config) validateExceptions() error {
	type target struct {
		key   Key
		scope Scope
	}
	ids := map[string]bool{}
	byTarget := map[target]string{}
	for _, e := range c.Exceptions {
		if err := e.validate(); err != nil {
			return errors.Wrapf(err, "exception %q", e.ID)
		}
		if ids[e.ID] {
			return errors.Errorf("exception %q stands twice", e.ID)
		}
		ids[e.ID] = true
		t := target{e.Key, e.Scope}
		if other := byTarget[t]; other != "" {
			return errors.Errorf("exceptions %q and %q both set %s for %s %s", other, e.ID, e.Key, e.Scope.Kind, e.Scope.Name)
		}
		byTarget[t] = e.ID
	}
	return nil
}

func (e *Exception) validate() error {
	spec, ok := Spec(e.Key)
	if !ok {
		return errors.Errorf("unknown key %q", e.Key)
	}
	if e.ID == "" {
		return errors.New("id is missing")
	}
	if e.Reason == "" {
		return errors.New("a written reason is required")
	}
	if len(e.Reason) > MaxTextBytes || len(e.ID) > MaxTextBytes {
		return errors.Errorf("text is longer than %d bytes", MaxTextBytes)
	}
	if !spec.allows(e.Scope.Kind) || e.Scope.Name == "" {
		return errors.Errorf("key %s allows scopes %v, not %q %q", e.Key, spec.Scopes, e.Scope.Kind, e.Scope.Name)
	}
	return spec.checkValue(e.Value)
}
