// Package backend sends a request to one backend server over HTTP and reports
// whether it may have been executed there.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/conntrace"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/tcpdial"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	// dialTimeout limits the time to open a connection. A backend server in another
	// availability zone accepts within a few milliseconds; the first retransmission of
	// a lost SYN comes only after a second.
	dialTimeout = 400 * time.Millisecond
	// initialIdleTimeout applies until a backend server announces its idle time-out.
	// Those are announced in whole seconds, so none is shorter than a second.
	initialIdleTimeout = 900 * time.Millisecond
	// idleTimeoutFraction is the part of the announced idle time-out after which this
	// side closes a connection, so that no request is sent on a connection that the
	// server is closing.
	idleTimeoutFraction = 0.6
	// idleConnsPerServer is the maximum number of idle connections per backend server.
	idleConnsPerServer = 64
	// maxUnidentified bounds the servers that are remembered for not repeating ids.
	maxUnidentified = 1024
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 64 << 10
	// MaxBodyBytes limits a response body that is read completely before it is forwarded.
	MaxBodyBytes = 4 << 20
)

// Instructions are what the gateway sends to a backend server in addition to the
// client's request.
type Instructions struct {
	ServerID       string // a server with another ID rejects the request
	Workspace      string
	Timeout        time.Duration
	Priority       int // 0 is the most urgent
	HasPriority    bool
	WeightsVersion uint64 // a server with another version rejects the request; 0: any
	CacheSalt      string // separates KV caches that must not be shared
	FetchFrom      string // address of a server or store that has the KV cache of parts of the prompt
	SaveTo         string // address of the store to which the KV cache of parts is copied
	LastEventID    string // a stream resumes after this event
}

// Description is the information in the header of a response.
type Description struct {
	RequestID      string
	ServerID       string
	NotRun         bool // the server guarantees that it did not execute the request
	Signed         bool // the response comes from the backend server itself
	WeightsVersion uint64
	IdleTimeout    time.Duration // how long the server keeps an idle connection open; 0: not announced
	Limit          Limit
	Leaving        bool                // the server says that it leaves
	Refused        bool                // the server turned the request away since it takes none now
	Asked          serverbackoff.Asked // of a refusal: when the server wants requests again
}

// Limit is the number of requests a second that a server takes from all gateways together.
type Limit struct {
	Named     bool    // the response names one
	PerSecond float64 // 0: the value is malformed
}

// Codec writes request headers and reads response headers.
type Codec interface {
	Instruct(header http.Header, instructions *Instructions)
	Describe(status int, header http.Header) Description
}

// Call is one attempt to execute a request on a backend server.
type Call struct {
	RequestID string
	Address   string
	Method    string
	URL       *url.URL // path and query
	Host      string
	Header    http.Header // as the client sent it; not modified
	Body      []byte
	// Observe gets what the head of each response to the call says, also of one that is
	// discarded; nil: nothing does.
	Observe func(head *Description)
	Instructions
}

// Response is a backend server's response; its body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Description
	Body io.ReadCloser
}

// Client calls backend servers.
type Client struct {
	codec     Codec
	transport atomic.Pointer[http.Transport]
	// oneShot opens a connection for each request, for servers that do not repeat the
	// request's id: on a reused connection their response could be another's.
	oneShot      *http.Transport
	unidentified *lru.Cache[string, struct{}] // addresses of these servers
}

// NewClient returns a client that uses codec for request and response headers.
func NewClient(codec Codec) *Client {
	unidentified, err := lru.New[string, struct{}](maxUnidentified)
	if err != nil {
		panic(err) // only for a size below 1
	}
	c := &Client{codec: codec, oneShot: newTransport(initialIdleTimeout), unidentified: unidentified}
	c.oneShot.DisableKeepAlives = true
	c.transport.Store(newTransport(initialIdleTimeout))
	return c
}

// transportFor returns the transport of a call.
func (c *Client) transportFor(call *Call) *http.Transport {
	if c.unidentified.Contains(call.Address) || isRewindable(call) {
		return c.oneShot
	}
	return c.transport.Load()
}

// isRewindable reports whether net/http can send the call again by itself when a reused
// connection breaks. Whether it does depends on headers of the client. On a new connection
// it sends nothing twice.
func isRewindable(call *Call) bool { return len(call.Body) == 0 && call.Method == http.MethodPost }

func newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            conntrace.Remember(tcpdial.NewDialer(dialTimeout).DialContext),
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    idleConnsPerServer,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// updateIdleTimeout sets the idle time-out according to the shortest one that a server
// has announced. Requests on existing connections continue.
func (c *Client) updateIdleTimeout(announced time.Duration) {
	idle := time.Duration(float64(announced) * idleTimeoutFraction)
	current := c.transport.Load()
	isInitial := current.IdleConnTimeout == initialIdleTimeout
	if announced <= 0 || !isInitial && idle >= current.IdleConnTimeout || idle == current.IdleConnTimeout {
		return
	}
	if c.transport.CompareAndSwap(current, newTransport(idle)) {
		current.CloseIdleConnections()
	}
}

// Do sends the request and waits for the response header. An error is a
// *verdict.Error. The HTTP client never retries the request by itself.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	transport := c.transportFor(call)
	httpResponse, trace, err := c.send(ctx, transport, call)
	if err != nil {
		return nil, callError(ctx, err, call.Address, trace.Connected())
	}
	if status := httpResponse.StatusCode; !verdict.IsFinalStatus(status) {
		discard(trace, httpResponse)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "%s answered with status %d", call.Address, status)
	}
	response := &Response{
		Status:      httpResponse.StatusCode,
		Header:      httpResponse.Header,
		Description: c.codec.Describe(httpResponse.StatusCode, httpResponse.Header),
		Body:        httpResponse.Body,
	}
	if call.Observe != nil {
		call.Observe(&response.Description)
	}
	c.updateIdleTimeout(response.IdleTimeout)
	if response.RequestID == "" {
		c.unidentified.Add(call.Address, struct{}{})
	} else {
		c.unidentified.Remove(call.Address)
	}
	if !answers(response, call, trace.Reused()) {
		discard(trace, httpResponse)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "%s sent the answer of another request", call.Address)
	}
	return response, nil
}

// discard closes the connection of a response. The response may be complete, so closing its body
// would keep the connection. Without a body the connection is idle by now; if the transport chooses
// it again before it learns that it is closed, the trace of that request rejects it.
func discard(trace *conntrace.Trace, response *http.Response) {
	trace.CloseConn()
	closeBody(response.Body)
}

// send sends the request on a connection that has not carried its id before, and waits for the
// response header.
func (c *Client) send(ctx context.Context, transport *http.Transport, call *Call) (*http.Response, *conntrace.Trace, error) {
	for {
		traced, trace := conntrace.AttachOnce(ctx, call.RequestID, len(call.Body))
		response, err := transport.RoundTrip(c.newRequest(traced, call))
		if !trace.Rejected() {
			return response, trace, err
		}
		if err == nil {
			closeBody(response.Body) // of an extra response that had been read already
		}
		if ctx.Err() != nil {
			return nil, trace, ctx.Err()
		}
	}
}

// answers reports whether a response is the call's, whose id its connection has not carried
// before. A server may send a response twice, the second time when the next request waits on
// the connection. Without the id of its request, only the first response on a connection can
// be trusted.
func answers(response *Response, call *Call, reused bool) bool {
	if response.RequestID == "" {
		return !reused
	}
	return response.RequestID == call.RequestID
}

func closeBody(body io.Closer) { _ = body.Close() } // the response is discarded, so an error does not matter

// callError returns the error of a call that got no response.
func callError(ctx context.Context, err error, address string, connected bool) *verdict.Error {
	outcome := verdict.NotRun
	if connected {
		outcome = verdict.MayHaveRun
	}
	if cause := context.Cause(ctx); cause != nil {
		return verdict.Wrap(err, outcome, verdict.CodeCancelled, "the call to %s ended: %v", address, cause)
	}
	return verdict.Wrap(err, outcome, verdict.CodeBackendFailed, "%s can't be reached or broke off", address)
}

// newRequest builds the HTTP request.
func (c *Client) newRequest(ctx context.Context, call *Call) *http.Request {
	header := call.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	c.codec.Instruct(header, &call.Instructions)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise the HTTP client sets its own
	}
	target := *call.URL
	target.Scheme = "http"
	target.Host = call.Address
	request := &http.Request{
		Method: call.Method, URL: &target, Host: call.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: requestBody(call.Method, call.Body), ContentLength: int64(len(call.Body)),
	}
	return request.WithContext(ctx)
}

// requestBody returns a body that the HTTP client cannot rewind, so that it never sends the
// request a second time by itself. A POST without a body is the exception; see isRewindable.
func requestBody(method string, content []byte) io.ReadCloser {
	if len(content) == 0 && method == http.MethodPost {
		return http.NoBody // any other body of unknown length would be sent in chunks
	}
	return nonRewindableReader{bytes.NewReader(content)}
}

// nonRewindableReader hides that its reader can be rewound.
type nonRewindableReader struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableReader) Close() error { return nil }

// firstReadBytes is the size of the buffer with which ReadBody begins.
const firstReadBytes = 2 << 10

// ReadBody reads the complete response body and closes it. admit, which may be nil, is called
// with the size of the buffer before it grows; its error ends the reading and is returned.
func ReadBody(response *Response, admit func(bytes int64) error) ([]byte, error) {
	defer closeBody(response.Body)
	content := make([]byte, 0, firstReadBytes)
	for {
		n, err := response.Body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if len(content) > MaxBodyBytes {
			return nil, errors.Errorf("response body larger than %d bytes", MaxBodyBytes)
		}
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response body")
		}
		if len(content) < cap(content) {
			continue
		}
		next := min(2*cap(content), MaxBodyBytes+firstReadBytes)
		if admit != nil {
			if err := admit(int64(next)); err != nil {
				return nil, err
			}
		}
		content = append(make([]byte, 0, next), content...)
	}
}
