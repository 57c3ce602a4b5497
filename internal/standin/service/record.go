package service

import (
	"net/http"
	"sync"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// HeaderIdempotencyKey is the header by which Executions counts.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxSeen is the maximum number of calls that Seen returns.
const maxSeen = 10_000

// Execution is a call that had an effect.
type Execution struct {
	Number         int    `json:"number"`
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Body           string `json:"body"`
}

// Executions lists and counts the executions.
type Executions struct {
	All   []Execution    `json:"all"`
	ByKey map[string]int `json:"by_key"`
	// ByBody counts by kind and body, joined by a space.
	ByBody map[string]int `json:"by_body"`
}

// Seen is a call as the service received it.
type Seen struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
}

// record holds the latest calls and all executions.
type record struct {
	mu         sync.Mutex
	seen       []Seen
	executions []Execution
}

func (r *record) addCall(call engine.CallRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.seen) == maxSeen {
		r.seen = append(r.seen[:0], r.seen[maxSeen/2:]...)
	}
	r.seen = append(r.seen, Seen{Method: call.Method, Path: call.Path, Header: call.Header.Clone(), Body: string(call.Body)})
}

// addExecution records an execution and returns its number.
func (r *record) addExecution(kind string, call engine.CallRequest) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	execution := Execution{
		Number:         len(r.executions) + 1,
		Kind:           kind,
		RequestID:      call.RequestID,
		IdempotencyKey: call.Header.Get(HeaderIdempotencyKey),
		Body:           string(call.Body),
	}
	r.executions = append(r.executions, execution)
	return execution.Number
}

// Executions returns all executions.
func (s *Service) Executions() Executions {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	result := Executions{
		All:    append([]Execution(nil), s.record.executions...),
		ByKey:  make(map[string]int),
		ByBody: make(map[string]int),
	}
	for _, execution := range result.All {
		result.ByKey[execution.IdempotencyKey]++
		result.ByBody[execution.Kind+" "+execution.Body]++
	}
	return result
}

// Seen returns the latest calls.
func (s *Service) Seen() []Seen {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return append([]Seen(nil), s.record.seen...)
}
