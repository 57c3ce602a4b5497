// Package canary moves the requests of a service step by step to a new software version of its
// backend servers, and back if that version is bad.
//
// It is made for versions of which a part of the responses are failures or several times slower:
// at once, later, under load, or on one route. An Order names the new version. While it is
// observed, a gate on each gateway gives the new version at most a fraction of the gateway's own
// requests, so that the sum over all gateways is bounded whatever they know of each other
// (gate.go). They are concentrated on few servers, which get the load of an old one, and spread
// over the routes. Gateways exchange what they saw (evidence.go); the old and the new side of the
// same time are compared (analysis.go). A State, which the platform's store keeps, says how far
// an order is; one gateway at a time advances it (plan.go, owner.go).
package canary

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxVersions bounds the versions in each list of a State, and maxVersionLength the length
	// of a version's name in bytes.
	maxVersions      = 32
	maxVersionLength = 200
	// MaxDuration bounds the duration of an order.
	MaxDuration = 24 * time.Hour
)

// Order asks for the requests of a service to be moved to a software version. Two orders with
// equal fields, one after the other, are the same order: a restored store gives the second one
// another revision.
type Order struct {
	Service  string
	To       string
	Duration time.Duration
}

// Validate returns an error if the order can't be carried out.
func (o *Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("rollout order: no service")
	case o.To == "" || len(o.To) > maxVersionLength:
		return errors.Errorf("rollout order of %.80q: no version, or a too long one", o.Service)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return errors.Errorf("rollout order of %.80q: duration of %v", o.Service, o.Duration)
	}
	return nil
}

// Phase is how far an order is.
type Phase uint8

// The phases, in their order. An order ends as Completed or RolledBack.
const (
	None       Phase = iota // there was no order yet
	Observe                 // the new version gets a bounded share
	Move                    // its share grows to all new requests
	Settle                  // all new requests; streams of the old versions may be resumed there
	Seal                    // no requests at the old versions
	Completed               // the new version serves alone
	RolledBack              // the new version gets nothing
)

var phaseNames = [...]string{"none", "observe", "move", "settle", "seal", "completed", "rolled_back"}

// String returns the name used in the store, logs and metrics.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Terminal reports whether the order has ended.
func (p Phase) Terminal() bool { return p == Completed || p == RolledBack }

// running reports whether an order is being carried out.
func (p Phase) running() bool { return p != None && !p.Terminal() }

// State is how far the latest order of a service is. It is immutable.
type State struct {
	Serial   uint64 // number of the service's orders so far; 0: none
	Epoch    uint64 // number of the entry's writes
	Order    Order
	Phase    Phase
	Exposure float64       // share of each gateway's requests for the new version in Observe
	Elapsed  time.Duration // since the order arrived, at the last write
	Old      []string      // versions that were in service when the order arrived, without the new one
	Barred   []string      // versions that were rolled back, or whose order was replaced
	Reason   string        // of a rollback
}

// Established returns the versions that serve if nothing becomes of a running order.
func (s *State) Established() []string {
	if s.Phase == Completed {
		return []string{s.Order.To}
	}
	return s.Old
}

// Supersedes reports whether the state is to be used instead of another one of the service. A
// terminal phase is never given up for a running one of the same order.
func (s *State) Supersedes(other *State) bool {
	if other == nil {
		return true
	}
	terminal := func(p Phase) int {
		if p.Terminal() {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(s.Serial, other.Serial),
		cmp.Compare(terminal(s.Phase), terminal(other.Phase)),
		cmp.Compare(s.Epoch, other.Epoch)) > 0
}

// row is a State in the store.
type row struct {
	Serial     uint64   `json:"serial"`
	Epoch      uint64   `json:"epoch"`
	To         string   `json:"to"`
	DurationMs int64    `json:"duration_ms"`
	Phase      string   `json:"phase"`
	Exposure   float64  `json:"exposure"`
	ElapsedMs  int64    `json:"elapsed_ms"`
	Old        []string `json:"old"`
	Barred     []string `json:"barred,omitempty"`
	Reason     string   `json:"reason,omitempty"`
}

// Encode returns the entry for the store.
func (s *State) Encode() ([]byte, error) {
	text, err := json.Marshal(row{
		Serial: s.Serial, Epoch: s.Epoch, To: s.Order.To, DurationMs: s.Order.Duration.Milliseconds(), Phase: s.Phase.String(),
		Exposure: s.Exposure, ElapsedMs: s.Elapsed.Milliseconds(), Old: s.Old, Barred: s.Barred, Reason: s.Reason,
	})
	return text, errors.Wrap(err, "encode state of a rollout")
}

// Decode returns the State of a service's entry.
func Decode(service string, text []byte) (*State, error) {
	var m row
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, errors.Wrap(err, "state of a rollout")
	}
	phase := slices.Index(phaseNames[:], m.Phase)
	tooLong := func(version string) bool { return len(version) > maxVersionLength }
	switch {
	case phase < 0:
		return nil, errors.Errorf("state of a rollout: unknown phase %.40q", m.Phase)
	case len(m.Old) > maxVersions || len(m.Barred) > maxVersions || slices.ContainsFunc(m.Old, tooLong) || slices.ContainsFunc(m.Barred, tooLong):
		return nil, errors.New("state of a rollout: too many versions, or too long ones")
	case !(m.Exposure >= 0 && m.Exposure <= 1) || m.ElapsedMs < 0 || m.DurationMs < 0:
		return nil, errors.New("state of a rollout: a number is out of range")
	}
	order := Order{Service: service, To: m.To, Duration: time.Duration(m.DurationMs) * time.Millisecond}
	if phase == int(None) {
		order = Order{}
	} else if err := order.Validate(); err != nil {
		return nil, err
	}
	return &State{
		Serial: m.Serial, Epoch: m.Epoch, Order: order, Phase: Phase(phase), Exposure: m.Exposure,
		Elapsed: time.Duration(m.ElapsedMs) * time.Millisecond, Old: m.Old, Barred: m.Barred, Reason: m.Reason,
	}, nil
}
