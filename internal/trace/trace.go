// Package trace replays recorded traces on the decision logic. A trace is a file
// with events and their expected outcomes, for one guarantee and one failure. It
// names the mechanism that upholds the guarantee: replayed with this mechanism
// disabled, the trace must fail.
package trace

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/jsonc"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Trace is one recorded trace.
type Trace struct {
	// Name identifies the trace; Promise is the guarantee that it checks.
	Name    string `json:"name"`
	Promise string `json:"promise"`
	// Machine names the state machine that the events are replayed on, a key of constructors.
	Machine string `json:"machine"`
	// Without names the mechanism that the trace is about; with it disabled, the replay must fail.
	Without string `json:"without"`
	// Setup holds the parameters and the initial state of the machine.
	Setup json.RawMessage `json:"setup"`
	// Steps are the events with their expected outcomes.
	Steps []Step `json:"steps"`
}

// Step is one event. Want holds the fields that must be observed after it, with
// their values; other fields are ignored.
type Step struct {
	AtMs tier.Millis     `json:"at_ms"`
	Do   json.RawMessage `json:"do"`
	Want json.RawMessage `json:"want"`
}

// machine applies events and returns its observable state after each.
type machine interface {
	do(at tier.Millis, event json.RawMessage) (observed any, err error)
}

// constructors has a function for each kind of machine, which makes it from its
// setup with the mechanism named by without disabled, if any.
var constructors = map[string]func(setup json.RawMessage, without string) (machine, error){
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
	if b, err = jsonc.Standardize(b); err != nil {
		return Trace{}, tier.At("parse trace", path, err)
	}
	var t Trace
	return t, tier.At("decode trace", path, json.Unmarshal(b, &t))
}

// Replay replays the trace and returns the first difference from the expected
// outcomes as an error, or nil. If without is true, the trace's mechanism is disabled.
func (t *Trace) Replay(without bool) error {
	construct := constructors[t.Machine]
	if construct == nil {
		return errors.Errorf("unknown machine %q", t.Machine)
	}
	disabled := ""
	if without {
		disabled = t.Without
	}
	m, err := construct(t.Setup, disabled)
	if err != nil {
		return errors.Wrap(err, "set up machine")
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

// compare checks the encoded form of observed against Want.
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
		return errors.Wrap(err, "decode expected outcome (want)")
	}
	return matchSubset("", want, got)
}

// matchSubset returns an error if got does not match want. Objects in got may
// have additional keys; everything else must be equal, but null matches an empty list.
func matchSubset(path string, want, got any) error {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return mismatch(path, want, got)
		}
		for k, v := range w {
			if err := matchSubset(path+"."+k, v, g[k]); err != nil {
				return err
			}
		}
		return nil
	case []any:
		g, ok := got.([]any)
		if (got != nil && !ok) || len(g) != len(w) {
			return mismatch(path, want, got)
		}
		for i := range w {
			if err := matchSubset(fmt.Sprintf("%s[%d]", path, i), w[i], g[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if want != got {
		return mismatch(path, want, got)
	}
	return nil
}

// mismatch returns the error for a value at path that differs from the expected one.
func mismatch(path string, want, got any) error {
	w, _ := json.Marshal(want)
	g, _ := json.Marshal(got)
	return errors.Errorf("%s: stated %s, observed %s", path, w, g)
}

// unknownMechanism returns the error for a mechanism that the machine cannot disable.
func unknownMechanism(without string) error {
	return errors.Errorf("unknown mechanism %q: this machine cannot disable it", without)
}
