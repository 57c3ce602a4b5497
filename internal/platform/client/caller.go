// Package client calls the platform's services over HTTP. A call returns the error that
// the service sent. If there is none, it returns ErrUnavailable if the call cannot have
// taken effect, and ErrOutcomeUnknown if it may have.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
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
	maxIdleConns      = 16               // idle connections per service
	idleConnTimeout   = 90 * time.Second // before an idle connection is closed
	maxErrorBodyBytes = 64 << 10         // limit for reading the body of a failed call
)

// caller makes HTTP calls to one service.
type caller struct {
	base    string
	timeout time.Duration
	http    *http.Client
	// onResponse is called with the header of each response, unless nil.
	onResponse func(http.Header)
}

func newCaller(baseURL string, timeout time.Duration) caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{}).DialContext, // each call has a time-out
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	return caller{
		base:    strings.TrimSuffix(baseURL, "/"),
		timeout: timeout,
		http:    &http.Client{Transport: conntrace.NewTransport(transport), CheckRedirect: rejectRedirects},
	}
}

// rejectRedirects disables redirects: a write must reach the service itself.
func rejectRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c caller) Close() { c.http.CloseIdleConnections() }

// read makes a read-only call and returns the header of the response.
func (c caller) read(ctx context.Context, path string, query url.Values, result any) (http.Header, error) {
	start := time.Now()
	header, err := c.get(ctx, path, query, result)
	recordCall(ctx, path, start, err)
	return header, err
}

func (c caller) get(ctx context.Context, path string, query url.Values, result any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, path, query)
	if err != nil {
		return nil, err
	}
	defer drain(response.Body)
	if err := decode(response.Body, result); err != nil {
		return nil, wrapError(platform.ErrUnavailable, path, err)
	}
	return response.Header, nil
}

// open makes a read-only call and returns the response, whose body is not read yet.
func (c caller) open(ctx context.Context, path string, query url.Values) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	response, err := c.do(request)
	if err != nil {
		return nil, wrapError(platform.ErrUnavailable, path, err)
	}
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, responseError(response, path, platform.ErrUnavailable)
	}
	return response, nil
}

// do sends a request.
func (c caller) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if err == nil && c.onResponse != nil {
		c.onResponse(response.Header)
	}
	return response, err
}

// write makes a call that may change the service's state, and returns the header of the
// response.
func (c caller) write(ctx context.Context, path string, payload, result any) (http.Header, error) {
	start := time.Now()
	header, err := c.post(ctx, path, payload, result)
	recordCall(ctx, path, start, err)
	return header, err
}

func (c caller) post(ctx context.Context, path string, payload, result any) (http.Header, error) {
	body, err := json.Marshal(payload)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	ctx, trace := conntrace.Attach(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.do(request)
	if err != nil {
		return nil, wrapError(noResponseError(trace.Connected()), path, err)
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response, path, platform.ErrOutcomeUnknown)
	}
	if err := decode(response.Body, result); err != nil {
		return nil, wrapError(platform.ErrOutcomeUnknown, path, err)
	}
	return response.Header, nil
}

// decode reads a body that consists of one JSON value. It reads to the end of the body, since
// a response that breaks off after the value is incomplete.
func decode(body io.Reader, result any) error {
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(result); err != nil {
		return err
	}
	switch _, err := decoder.Token(); err {
	case io.EOF:
		return nil
	case nil:
		return errors.New("the response has more than one value")
	default:
		return err
	}
}

// noResponseError returns the error of a write that got no response.
func noResponseError(connected bool) error {
	if connected {
		return platform.ErrOutcomeUnknown
	}
	return platform.ErrUnavailable
}

// responseError returns the error in a response whose status is not 200, or unknown if
// the response does not come from the service itself.
func responseError(response *http.Response, path string, unknown error) error {
	var body httpapi.Failure
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return wrapError(unknown, path, err)
	}
	if json.Unmarshal(text, &body) == nil && body.Err() != nil {
		return errors.Wrap(body.Err(), path)
	}
	return wrapError(unknown, path, errors.New(response.Status))
}

// wrapError returns kind with the path and the cause of a failed call.
func wrapError(kind error, path string, cause error) error {
	return errors.Wrapf(kind, "%s: %v", path, cause)
}

// drain reads the rest of a body, so that its connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBodyBytes))
	_ = body.Close()
}
