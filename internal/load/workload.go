package load

import (
	"net/http"

	"github.com/pkg/errors"
)

// Class groups requests that are measured together.
type Class string

// The classes of requests.
const (
	ClassUrgent     Class = "urgent"     // generations that a user waits for
	ClassDeferrable Class = "deferrable" // generations that may wait
	ClassCall       Class = "call"       // calls of plain services
)

// Workload is a mix of requests, the same for each workspace.
type Workload struct {
	Name           string
	Model          string
	BurstWorkspace string // workspace that exceeds its rate in a burst
	Streams        []Stream
}

// Stream is one kind of request.
type Stream struct {
	Kind  string
	Class Class
	// Share is the part of a workspace's tokens that it takes.
	Share float64
	// Batch is the mean number of requests that arrive together.
	Batch float64
	// Generations: the nested shared prefixes, the outermost first, the tokens
	// that follow them, and the tokens of the response.
	Levels    []Level
	AskTokens int
	MaxTokens int
	// Calls.
	Method string
	Path   string // for GET, request appends a number
	Cost   int    // tokens charged
}

// Level is a level of shared prefixes below one prefix of the level above.
type Level struct {
	Tokens int
	Items  int     // number of different prefixes
	Skew   float64 // Zipf exponent of their popularity
}

func (s *Stream) chat() bool { return s.Class == ClassUrgent }

// cost returns approximately the tokens that a request reserves.
func (s *Stream) cost() float64 {
	if s.Class == ClassCall {
		return float64(s.Cost)
	}
	total := s.AskTokens + s.MaxTokens
	for _, level := range s.Levels {
		total += level.Tokens
	}
	return float64(total)
}

// consortium is a workload in which overnight list checks and greeting lines may
// wait; questions, lookups and badge orders at the door come first.
func consortium() *Workload {
	return &Workload{
		Name: "consortium", Model: "greeter", BurstWorkspace: "soweto-badges",
		Streams: []Stream{
			{Kind: "list-check", Class: ClassDeferrable, Share: 0.50, Batch: 6,
				Levels: []Level{{1024, 1, 0}, {2048, 24, 0.8}}, AskTokens: 400, MaxTokens: 16},
			{Kind: "greeting", Class: ClassDeferrable, Share: 0.10, Batch: 3,
				Levels: []Level{{1024, 1, 0}, {512, 12, 0.8}}, AskTokens: 120, MaxTokens: 24},
			{Kind: "desk-question", Class: ClassUrgent, Share: 0.398, Batch: 1,
				Levels: []Level{{768, 1, 0}, {1536, 12, 1.2}}, AskTokens: 48, MaxTokens: 8},
			{Kind: "door-lookup", Class: ClassCall, Share: 0.001, Batch: 3, Method: http.MethodGet, Path: "/desk/lookup/", Cost: 10},
			{Kind: "badge-order", Class: ClassCall, Share: 0.001, Batch: 1, Method: http.MethodPost, Path: "/desk/orders", Cost: 20},
		},
	}
}

// association is a workload of long roof packs with nested shared prefixes, a few
// of them very hot, installers' short questions, certificate lodgements and
// look-ups of past jobs.
func association() *Workload {
	return &Workload{
		Name: "association", Model: "reviewer", BurstWorkspace: "queenstown",
		Streams: []Stream{
			{Kind: "pack-review", Class: ClassDeferrable, Share: 0.58, Batch: 2,
				Levels: []Level{{2048, 1, 0}, {1024, 6, 1.0}, {2048, 10, 1.2}}, AskTokens: 64, MaxTokens: 12},
			{Kind: "roof-question", Class: ClassUrgent, Share: 0.418, Batch: 1,
				Levels: []Level{{2048, 1, 0}, {1024, 6, 1.2}}, AskTokens: 40, MaxTokens: 8},
			{Kind: "past-job", Class: ClassCall, Share: 0.001, Batch: 1, Method: http.MethodGet, Path: "/records/jobs/", Cost: 10},
			{Kind: "certificate", Class: ClassCall, Share: 0.001, Batch: 1, Method: http.MethodPost, Path: "/records/certificates", Cost: 20},
		},
	}
}

// workloadNamed returns the workload of that name.
func workloadNamed(name string) (*Workload, error) {
	for _, w := range []*Workload{consortium(), association()} {
		if w.Name == name {
			return w, nil
		}
	}
	return nil, errors.Errorf("unknown workload %q", name)
}
