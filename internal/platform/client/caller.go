// Package client calls the platform's services over HTTP. Every error says
// whether the call may have taken effect: ErrUnavailable if it can't have,
// ErrUnsure if it may.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

const (
	maxIdleConns    = 16               // kept open to one service
	idleConnTimeout = 90 * time.Second // before an idle connection closes
	maxFailureBytes = 64 << 10         // of the body of a failed call
)

// caller makes calls to one service.
type caller struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

func newCaller(baseURL string, timeout time.Duration) caller {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return caller{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: transport, CheckRedirect: keepAnswer},
	}
}

// keepAnswer follows no redirect: a write must reach the service itself.
func keepAnswer(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c caller) Close() { c.http.CloseIdleConnections() }

// read makes a call that has no effect.
func (c caller) read(ctx context.Context, path string, query url.Values, answer any) error {
	start := time.Now()
	err := c.get(ctx, path, query, answer)
	recordCall(ctx, path, start, err)
	return err
}

func (c caller) get(ctx context.Context, path string, query url.Values, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := c.open(ctx, path, query)
	if err != nil {
		return err
	}
	defer drain(body)
	if err := json.NewDecoder(body).Decode(answer); err != nil {
		return failed(platform.ErrUnavailable, path, err)
	}
	return nil
}

// open makes a call that has no effect and returns the body of its answer.
func (c caller) open(ctx context.Context, path string, query url.Values) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, failed(platform.ErrUnavailable, path, err)
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, failure(response, path, platform.ErrUnavailable)
	}
	return response.Body, nil
}

// write makes a call that has an effect.
func (c caller) write(ctx context.Context, path string, question, answer any) error {
	start := time.Now()
	err := c.post(ctx, path, question, answer)
	recordCall(ctx, path, start, err)
	return err
}

func (c caller) post(ctx context.Context, path string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return errors.Wrap(err, path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, sent := conntrace.Attach(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return failed(outcome(sent.Load()), path, err)
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return failure(response, path, platform.ErrUnsure)
	}
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return failed(platform.ErrUnsure, path, err)
	}
	return nil
}

// outcome is the error of a write that got no answer.
func outcome(connected bool) error {
	if connected {
		return platform.ErrUnsure
	}
	return platform.ErrUnavailable
}

// failure returns the error of an answer that isn't 200, or unknown if the
// answer isn't the service's own.
func failure(response *http.Response, path string, unknown error) error {
	var body httpapi.Failure
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
	if err != nil {
		return failed(unknown, path, err)
	}
	if json.Unmarshal(text, &body) == nil && body.Err() != nil {
		return errors.Wrap(body.Err(), path)
	}
	return failed(unknown, path, errors.New(response.Status))
}

// failed returns kind with the path and cause of a failed call.
func failed(kind error, path string, cause error) error {
	return errors.Wrapf(kind, "%s: %v", path, cause)
}

// drain reads the rest of a body, so that its connection can be used again.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxFailureBytes))
	_ = body.Close()
}
