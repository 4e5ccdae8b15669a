package trace

import (
	"encoding/json"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// slotsMachine replays the slots and the queue of one server.
type slotsMachine struct {
	slots   *conn.Slots
	tickets map[string]*conn.Ticket // by request name
	states  map[string]string       // by request name
}

type slotsSetup struct {
	Limit    int `json:"limit"`
	MaxQueue int `json:"max_queue"`
}

type slotsEvent struct {
	Offer *struct {
		Name       string      `json:"name"`
		Rank       int         `json:"rank"`
		DeadlineMs tier.Millis `json:"deadline_ms"`
		Solo       bool        `json:"solo"`
	} `json:"offer"`
	Done string `json:"done"`
}

func newSlotsMachine(raw json.RawMessage, without string) (machine, error) {
	var s slotsSetup
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	m := &slotsMachine{slots: &conn.Slots{Limit: s.Limit, MaxQueue: s.MaxQueue}, tickets: map[string]*conn.Ticket{}, states: map[string]string{}}
	switch without {
	case "":
	case "early_refusal":
		m.slots.DisableRefusal = true
	default:
		return nil, unknownMechanism(without)
	}
	return m, nil
}

// do offers or ends a request. It returns the state of every request: running,
// waiting, done, or the reason for its refusal.
func (m *slotsMachine) do(at tier.Millis, raw json.RawMessage) (any, error) {
	var e slotsEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, err
	}
	if o := e.Offer; o != nil {
		t := &conn.Ticket{Rank: o.Rank, Deadline: o.DeadlineMs.Duration(), Solo: o.Solo, Grant: make(chan tier.Reason, 1)}
		m.tickets[o.Name] = t
		run, reason := m.slots.Offer(at.Duration(), t)
		m.states[o.Name] = "waiting"
		if run {
			m.states[o.Name] = "running"
		} else if reason != tier.ReasonNone {
			m.states[o.Name] = string(reason)
		}
	}
	if e.Done != "" {
		m.states[e.Done] = "done"
		m.slots.Done(at.Duration(), m.tickets[e.Done], true)
	}
	m.collectGrants()
	return m.states, nil
}

// collectGrants updates the states of waiting requests that were started or refused.
func (m *slotsMachine) collectGrants() {
	for name, t := range m.tickets {
		select {
		case reason := <-t.Grant:
			m.states[name] = "running"
			if reason != tier.ReasonNone {
				m.states[name] = string(reason)
			}
		default:
		}
	}
}
