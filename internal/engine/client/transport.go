// Package client implements the interfaces of package engine over HTTP. Its errors
// distinguish requests that have not run from those that may have run.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
)

const (
	dialTimeout      = 2 * time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerServer = 512
	maxErrorBytes    = 16 << 10
	maxStateBytes    = 1 << 20
	maxPieceBytes    = 64 << 20
	maxDrainBytes    = 4 << 10
	contentType      = "Content-Type"
	applicationJSON  = "application/json"
)

// newHTTPClient returns a client that follows no redirects and uses no proxy. With
// keepAlive it reuses connections, and net/http may resend a request if nothing of
// it was written to a connection. Without, each request has its own connection and
// net/http never resends it.
func newHTTPClient(keepAlive bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{
		Transport:     conntrace.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends the request. Its errors wrap engine.ErrUnreachable if no connection
// was made, and engine.ErrBroken otherwise. observe gets each response, also one that is
// discarded.
func send(client *http.Client, req *http.Request, observe func(*http.Response)) (*http.Response, error) {
	traced, trace := conntrace.Attach(req.Context())
	resp, err := client.Do(req.WithContext(traced))
	if err == nil {
		observe(resp)
	}
	if err == nil && !answers(resp, req, trace.Reused()) {
		trace.CloseConn()
		_ = resp.Body.Close() // discarded
		return nil, errors.Wrap(engine.ErrBroken, "the answer of another request")
	}
	if err == nil {
		return resp, nil
	}
	if !trace.Connected() || isDialError(err) {
		return nil, errors.Wrap(engine.ErrUnreachable, err.Error())
	}
	return nil, errors.Wrap(engine.ErrBroken, err.Error())
}

// answers reports whether a refusal is that of the request. An engine may write an earlier one
// once more, which arrives when the next request waits on the connection. Ids are those of
// attempts, so none is sent twice. The chunks of a stream name their request themselves.
func answers(resp *http.Response, req *http.Request, reused bool) bool {
	id, answered := req.Header.Get(engine.HeaderRequestID), resp.Header.Get(engine.HeaderRequestID)
	switch {
	case resp.StatusCode/100 == 2:
		return true
	case id == "":
		return answered == ""
	}
	return answered == id || answered == "" && !reused
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// post sends body as JSON, for the request with an id unless that is empty. Any response other
// than a success is an error.
func (e *Engine) post(ctx context.Context, path, requestID string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "encode request: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "make request: %v", err)
	}
	req.Header.Set(contentType, applicationJSON)
	if requestID == "" {
		return e.do(e.unnamed, req)
	}
	req.Header.Set(engine.HeaderRequestID, requestID)
	return e.do(e.http, req)
}

func (e *Engine) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "make request: %v", err)
	}
	return e.do(e.http, req)
}

func (e *Engine) do(client *http.Client, req *http.Request) (*http.Response, error) {
	resp, err := send(client, req, func(resp *http.Response) {
		if e.OnResponse != nil {
			isRequest := strings.HasSuffix(req.URL.Path, httpapi.PathCompletions)
			e.OnResponse(engine.Answer{Status: resp.StatusCode, Header: resp.Header, Request: isRequest})
		}
	})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer closeBody(resp)
	return nil, responseError(resp)
}

// responseError returns the error of a response that is not a success. Only with a
// status of 4xx or 503 has the engine not begun to execute the request.
func responseError(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body httpapi.ErrorBody
	if json.Unmarshal(data, &body) != nil {
		body.Message = strings.TrimSpace(string(data))
	}
	switch {
	case body.Kind == httpapi.KindStaleFence:
		return errors.Wrap(engine.ErrStaleFence, body.Message)
	case resp.StatusCode/100 == 4, resp.StatusCode == http.StatusServiceUnavailable:
		return errors.Wrapf(engine.ErrRefused, "status %d: %s", resp.StatusCode, body.Message)
	default:
		return errors.Wrapf(engine.ErrBroken, "status %d: %s", resp.StatusCode, body.Message)
	}
}

// closeBody reads a short remainder of the body before it closes it, so that the
// connection can be reused.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// decode reads a JSON body of at most limit bytes.
func decode(resp *http.Response, limit int64, value any) error {
	defer closeBody(resp)
	decoder := json.NewDecoder(io.LimitReader(resp.Body, limit))
	err := decoder.Decode(value)
	if err == nil {
		// A response that breaks off after the value is incomplete.
		if _, err = decoder.Token(); err == io.EOF {
			return nil
		}
	}
	return errors.Wrapf(engine.ErrBroken, "decode response: %v", err)
}

// finish closes the body of a success without a result. It returns an error if the response
// broke off.
func finish(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.CopyN(io.Discard, resp.Body, maxDrainBytes); err != nil && err != io.EOF {
		return errors.Wrapf(engine.ErrBroken, "read response: %v", err)
	}
	return nil
}
