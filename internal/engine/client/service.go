package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const maxReplyBytes = 16 << 20

// Service implements engine.Service over HTTP. Each call has its own connection: on
// a reused connection net/http resends some requests, and a close by the peer before
// the call could not be distinguished from one after the call has run.
type Service struct {
	base string
	http *http.Client
	// OnResponse is called with the head of each response, if set.
	OnResponse func(engine.Answer)
}

// NewService returns a client of the plain service at baseURL.
func NewService(baseURL string) *Service {
	return &Service{base: strings.TrimSuffix(baseURL, "/"), http: newHTTPClient(false)}
}

// Call implements engine.Service. The path must start with a slash.
func (s *Service) Call(ctx context.Context, call engine.CallRequest) (engine.CallReply, error) {
	req, err := s.request(ctx, call)
	if err != nil {
		return engine.CallReply{}, err
	}
	resp, err := send(s.http, req, func(resp *http.Response) {
		if s.OnResponse != nil {
			s.OnResponse(engine.Answer{Status: resp.StatusCode, Header: resp.Header, Request: true})
		}
	})
	if err != nil {
		return engine.CallReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readReply(resp.Body)
	if err != nil {
		return engine.CallReply{}, err
	}
	return engine.CallReply{
		RequestID: resp.Header.Get(engine.HeaderRequestID),
		Status:    resp.StatusCode,
		Header:    resp.Header,
		Body:      body,
	}, nil
}

func (s *Service) request(ctx context.Context, call engine.CallRequest) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Wrapf(engine.ErrRefused, "path %q does not start with a slash", call.Path)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, s.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "make request: %v", err)
	}
	req.GetBody = nil
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	req.Header.Set(engine.HeaderRequestID, call.RequestID)
	return req, nil
}

func readReply(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxReplyBytes+1))
	if err != nil {
		return nil, errors.Wrapf(engine.ErrBroken, "read reply: %v", err)
	}
	if len(body) > maxReplyBytes {
		return nil, errors.Wrapf(engine.ErrBroken, "reply exceeds %d bytes", maxReplyBytes)
	}
	return body, nil
}

var _ engine.Service = (*Service)(nil)
