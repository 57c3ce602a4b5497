// Package backend sends a request to one backend server over HTTP and says
// whether it may have run there.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// dialTimeout bounds a new connection. A backend server in another zone answers
	// within a few milliseconds; the first repeat of a lost packet takes a second.
	dialTimeout = 400 * time.Millisecond
	// A connection whose peer is gone is found out by probes, after
	// keepAliveIdle + keepAliveCount * keepAliveInterval without a byte.
	keepAliveIdle     = time.Second
	keepAliveInterval = 300 * time.Millisecond
	keepAliveCount    = 3
	// userTimeout is how long sent bytes may stay without an acknowledgement.
	userTimeout = 1500 * time.Millisecond
	// firstIdleTimeout is used until a backend server has announced its own: time-outs
	// are announced in whole seconds, so that one is at least a second.
	firstIdleTimeout = 900 * time.Millisecond
	// idleShare is the part of the announced time-out after which an idle connection
	// is closed from this side, so that no request meets the other side's close.
	idleShare = 0.6
	// idleConnsPerServer are kept for the next requests.
	idleConnsPerServer = 64
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
	// MaxWholeBytes bounds an answer that is read whole before it is passed on.
	MaxWholeBytes = 4 << 20
)

// Instructions are what the gateway tells a backend server beside the client's
// request.
type Instructions struct {
	ServerID    string // another incarnation refuses the request
	Workspace   string
	Patience    time.Duration
	Priority    int // 0 is the most urgent
	HasPriority bool
	Weights     uint64 // a server with another version refuses the request; 0: any
	CacheSalt   string // separates KV cache that must not be shared
	FetchFrom   string // address of a server or store that holds parts of the prompt
	SaveTo      string // address of the store to which parts are copied
	LastEventID string // a stream goes on after this event
}

// Description is what the head of an answer says.
type Description struct {
	RequestID string
	ServerID  string
	NotRun    bool // the server promises that the request did not run
	Signed    bool // the answer is a server's own
	Weights   uint64
	KeepIdle  time.Duration // how long the server keeps an idle connection; 0: not said
}

// Codec writes and reads the headers.
type Codec interface {
	Instruct(header http.Header, instructions *Instructions)
	Describe(status int, header http.Header) Description
}

// Call is one attempt at a backend server.
type Call struct {
	RequestID string
	Address   string
	Method    string
	URL       *url.URL // path and query
	Host      string
	Header    http.Header // as the client sent it; not changed
	Body      []byte
	Instructions
}

// Answer is the head of a backend server's answer, and its body to be read.
type Answer struct {
	Status int
	Header http.Header
	Description
	Body io.ReadCloser
}

// Client calls backend servers.
type Client struct {
	codec     Codec
	transport atomic.Pointer[http.Transport]
}

// NewClient returns a Client.
func NewClient(codec Codec) *Client {
	c := &Client{codec: codec}
	c.transport.Store(newTransport(firstIdleTimeout))
	return c
}

func newTransport(idle time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// keepIdle adapts the time for which idle connections are kept to the shortest one
// that was announced. Requests on the former connections go on.
func (c *Client) keepIdle(announced time.Duration) {
	idle := time.Duration(float64(announced) * idleShare)
	current := c.transport.Load()
	first := current.IdleConnTimeout == firstIdleTimeout
	if announced <= 0 || !first && idle >= current.IdleConnTimeout || idle == current.IdleConnTimeout {
		return
	}
	if c.transport.CompareAndSwap(current, newTransport(idle)) {
		current.CloseIdleConnections()
	}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return errors.Wrap(err, "TCP_USER_TIMEOUT")
}

// Do sends the request and waits for the head of the answer. An error is a
// *verdict.Error. The HTTP client never repeats the request by itself.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	traced, sent := conntrace.Attach(ctx)
	response, err := c.transport.Load().RoundTrip(c.request(traced, call))
	if err != nil {
		return nil, callError(ctx, err, call.Address, sent.Load())
	}
	answer := &Answer{
		Status:      response.StatusCode,
		Header:      response.Header,
		Description: c.codec.Describe(response.StatusCode, response.Header),
		Body:        response.Body,
	}
	c.keepIdle(answer.KeepIdle)
	if answer.RequestID != "" && answer.RequestID != call.RequestID {
		closeBody(response.Body)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "%s sent the answer of another request", call.Address)
	}
	return answer, nil
}

func closeBody(body io.Closer) { _ = body.Close() } // nothing is owed to an answer that is dropped

// callError judges a call without an answer.
func callError(ctx context.Context, err error, address string, sent bool) *verdict.Error {
	outcome := verdict.NotRun
	if sent {
		outcome = verdict.MayHaveRun
	}
	if cause := context.Cause(ctx); cause != nil {
		return verdict.Wrap(err, outcome, verdict.CodeCancelled, "the call to %s ended: %v", address, cause)
	}
	return verdict.Wrap(err, outcome, verdict.CodeBackendFailed, "%s can't be reached or broke off", address)
}

// request builds the HTTP request.
func (c *Client) request(ctx context.Context, call *Call) *http.Request {
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	c.codec.Instruct(header, &call.Instructions)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else the HTTP client sets its own
	}
	target := *call.URL
	target.Scheme = "http"
	target.Host = call.Address
	request := &http.Request{
		Method: call.Method, URL: &target, Host: call.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: body(call.Method, call.Body), ContentLength: int64(len(call.Body)),
	}
	return request.WithContext(ctx)
}

// body returns the request's body in a form that the HTTP client does not send
// twice by itself.
func body(method string, content []byte) io.ReadCloser {
	if len(content) == 0 && method == http.MethodPost {
		return http.NoBody
	}
	return onceReader{bytes.NewReader(content)}
}

// onceReader hides the type of a reader that could be rewound.
type onceReader struct{ io.Reader }

// Close implements io.Closer.
func (onceReader) Close() error { return nil }

// ReadWhole reads an answer's body to its end.
func ReadWhole(answer *Answer) ([]byte, error) {
	defer closeBody(answer.Body)
	whole, err := io.ReadAll(io.LimitReader(answer.Body, MaxWholeBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer broke off")
	}
	if len(whole) > MaxWholeBytes {
		return nil, errors.Errorf("answer of more than %d bytes", MaxWholeBytes)
	}
	return whole, nil
}
