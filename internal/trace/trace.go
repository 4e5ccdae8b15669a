// Package trace replays recorded traces: events with stated outcomes, one
// file per promise and failure. A trace names the mechanism that it is about;
// replayed without that mechanism it must fail.
package trace

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Trace is one file.
type Trace struct {
	// Name and Promise say what the trace is about.
	Name    string `json:"name"`
	Promise string `json:"promise"`
	// Machine is the decision logic that is replayed.
	Machine string `json:"machine"`
	// Without is the mechanism without which the replay must fail.
	Without string `json:"without"`
	// Setup is what the machine starts with.
	Setup json.RawMessage `json:"setup"`
	// Steps are the events with their stated outcomes.
	Steps []Step `json:"steps"`
}

// Step is one event; Want is a part of what must be observed after it.
type Step struct {
	AtMs tier.Millis     `json:"at_ms"`
	Do   json.RawMessage `json:"do"`
	Want json.RawMessage `json:"want"`
}

// machine takes events and returns what can be observed.
type machine interface {
	do(at tier.Millis, event json.RawMessage) (observed any, err error)
}

// makers makes a machine from its setup, without one mechanism where that is not "".
var makers = map[string]func(setup json.RawMessage, without string) (machine, error){
	"plan":   newPlanMachine,
	"store":  newStoreMachine,
	"group":  newGroupMachine,
	"owners": newOwnersMachine,
	"fleet":  newFleetMachine,
	"slots":  newSlotsMachine,
}

// Load reads a trace from a file of JSON with comments.
func Load(path string) (Trace, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Trace{}, tier.At("read trace", path, err)
	}
	if b, err = hujson.Standardize(b); err != nil {
		return Trace{}, tier.At("parse trace", path, err)
	}
	var t Trace
	return t, tier.At("decode trace", path, json.Unmarshal(b, &t))
}

// Replay returns the first difference from the stated outcomes, or nil.
// With without it replays with the trace's mechanism switched off.
func (t *Trace) Replay(without bool) error {
	mk := makers[t.Machine]
	if mk == nil {
		return errors.Errorf("unknown machine %q", t.Machine)
	}
	off := ""
	if without {
		off = t.Without
	}
	m, err := mk(t.Setup, off)
	if err != nil {
		return errors.Wrap(err, "setup")
	}
	for i, s := range t.Steps {
		got, err := m.do(s.AtMs, s.Do)
		if err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
		if err := s.compare(got); err != nil {
			return errors.Wrapf(err, "step %d at %d ms", i, s.AtMs)
		}
	}
	return nil
}

func (s *Step) compare(observed any) error {
	if len(s.Want) == 0 {
		return nil
	}
	b, err := json.Marshal(observed)
	if err != nil {
		return err
	}
	var got, want any
	if err := json.Unmarshal(b, &got); err != nil {
		return err
	}
	if err := json.Unmarshal(s.Want, &want); err != nil {
		return errors.Wrap(err, "want")
	}
	return part("", want, got)
}

// part reports whether want is a part of got: objects may have more keys, all else must be equal.
func part(at string, want, got any) error {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return differs(at, want, got)
		}
		for k, v := range w {
			if err := part(at+"."+k, v, g[k]); err != nil {
				return err
			}
		}
		return nil
	case []any:
		g, ok := got.([]any)
		if (got != nil && !ok) || len(g) != len(w) {
			return differs(at, want, got)
		}
		for i := range w {
			if err := part(fmt.Sprintf("%s[%d]", at, i), w[i], g[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if want != got {
		return differs(at, want, got)
	}
	return nil
}

func differs(at string, want, got any) error {
	w, _ := json.Marshal(want)
	g, _ := json.Marshal(got)
	return errors.Errorf("%s: stated %s, observed %s", at, w, g)
}

// unknown is the error of a switch that a machine does not have.
func unknown(without string) error {
	return errors.Errorf("there is no mechanism %q to switch off", without)
}
