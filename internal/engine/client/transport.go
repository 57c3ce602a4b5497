// Package client implements the interfaces of package engine over HTTP. Its
// errors say whether the backend server may have got the request.
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
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerServer   = 512
	maxErrorBytes   = 16 << 10
	maxStateBytes   = 1 << 20
	maxPieceBytes   = 64 << 20
	maxDrainBytes   = 4 << 10
	contentType     = "Content-Type"
	applicationJSON = "application/json"
)

// newHTTPClient returns a client that follows no redirect and uses no proxy.
// With reuse it keeps connections: then net/http may send a request again
// whose connection took none of it. Without, each request has a connection of
// its own and net/http never sends it again.
func newHTTPClient(reuse bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends the request. Its errors wrap engine.ErrUnreachable when no
// connection was made, else engine.ErrBroken.
func send(client *http.Client, req *http.Request) (*http.Response, error) {
	traced, connected := conntrace.Attach(req.Context())
	resp, err := client.Do(req.WithContext(traced))
	if err == nil {
		return resp, nil
	}
	if !connected.Load() || isDialError(err) {
		return nil, errors.Wrap(engine.ErrUnreachable, err.Error())
	}
	return nil, errors.Wrap(engine.ErrBroken, err.Error())
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// post sends body as JSON and returns a successful response.
func (e *Engine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "encode request: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "make request: %v", err)
	}
	req.Header.Set(contentType, applicationJSON)
	return e.do(req)
}

func (e *Engine) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+path, nil)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrRefused, "make request: %v", err)
	}
	return e.do(req)
}

func (e *Engine) do(req *http.Request) (*http.Response, error) {
	resp, err := send(e.http, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer closeBody(resp)
	return nil, refusal(resp)
}

// refusal returns the error of a response that is not a success. Only client
// errors and 503 mean that the engine has not begun.
func refusal(resp *http.Response) error {
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

// closeBody reads a short rest, so that the connection can be used again.
func closeBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// decode reads a JSON body of at most limit bytes.
func decode(resp *http.Response, limit int64, value any) error {
	defer closeBody(resp)
	err := json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(value)
	if err != nil {
		return errors.Wrapf(engine.ErrBroken, "decode response: %v", err)
	}
	return nil
}
