package service

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// Paths of the service.
const (
	PathLookup       = "/lookup/"
	PathJobs         = "/jobs/"
	PathOrders       = "/orders"
	PathCertificates = "/certificates"
)

// Kinds of executions.
const (
	KindOrder       = "order"
	KindCertificate = "certificate"
)

// tables is the number of tables in lookup replies.
const tables = 40

// lookupReply is the response body of PathLookup and PathJobs.
type lookupReply struct {
	Server string `json:"server"`
	ID     string `json:"id"`
	Name   string `json:"name"`
	Table  uint64 `json:"table"`
}

// executionReply is the response body of PathOrders and PathCertificates.
type executionReply struct {
	Server string `json:"server"`
	Kind   string `json:"kind"`
	Number int    `json:"number"`
}

type errorReply struct {
	Error string `json:"error"`
}

// execute executes the call and returns its reply.
func (s *Service) execute(call engine.CallRequest) engine.CallReply {
	path, _, _ := strings.Cut(call.Path, "?")
	lookup := call.Method == http.MethodGet
	switch {
	case lookup && strings.HasPrefix(path, PathLookup):
		return s.lookup(call, strings.TrimPrefix(path, PathLookup))
	case lookup && strings.HasPrefix(path, PathJobs):
		return s.lookup(call, strings.TrimPrefix(path, PathJobs))
	case call.Method == http.MethodPost && path == PathOrders:
		return s.recordExecution(call, KindOrder)
	case call.Method == http.MethodPost && path == PathCertificates:
		return s.recordExecution(call, KindCertificate)
	default:
		return reply(call, http.StatusNotFound, errorReply{Error: "no such path"})
	}
}

func (s *Service) lookup(call engine.CallRequest, id string) engine.CallReply {
	sum := xxhash.Sum64String(id)
	return reply(call, http.StatusOK, lookupReply{
		Server: s.name,
		ID:     id,
		Name:   "attendee-" + strconv.FormatUint(sum%1000, 10),
		Table:  sum % tables,
	})
}

// recordExecution records the effect of a call and returns its reply.
func (s *Service) recordExecution(call engine.CallRequest, kind string) engine.CallReply {
	number := s.record.addExecution(kind, call)
	return reply(call, http.StatusCreated, executionReply{Server: s.name, Kind: kind, Number: number})
}

func reply(call engine.CallRequest, status int, body any) engine.CallReply {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are plain structs
	}
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(engine.HeaderRequestID, call.RequestID)
	return engine.CallReply{RequestID: call.RequestID, Status: status, Header: header, Body: data}
}
