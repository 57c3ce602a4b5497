package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/clientbody"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Headers reads and writes the platform's HTTP headers.
type Headers interface {
	backend.Codec
	// ReadRequest returns the metadata in a client's headers, and removes the headers
	// that only the gateway may set.
	ReadRequest(header http.Header) forward.Metadata
	SetRetryAfter(header http.Header, after time.Duration)
	SetRequestID(header http.Header, id string)
}

const (
	// defaultBodyBytes limits request bodies if no configuration is known or the
	// configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// slowWriteTimeout bounds each write of a stream to a client that does not read.
	slowWriteTimeout = 10 * time.Second
	// runningPollInterval is the interval at which a stopping gateway looks whether
	// requests are running.
	runningPollInterval = 20 * time.Millisecond
	// stoppingRetryAfter is sent to clients that a stopping gateway refuses. Another gateway
	// serves them at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// ingress is the HTTP handler for clients' requests.
type ingress struct {
	follower       *follower.Follower
	headers        Headers
	handler        forward.Handler
	echo           *echo.Echo
	requestMetrics requestMetrics
	bodies         clientbody.Reader
	draining       atomic.Bool  // each response closes its connection
	refusing       atomic.Bool  // new requests are refused
	running        atomic.Int64 // accepted requests without a complete response
}

func newIngress(f *follower.Follower, headers Headers, handler forward.Handler, account *clientmem.Account) *ingress {
	in := &ingress{follower: f, headers: headers, handler: handler, echo: echo.New(), requestMetrics: newRequestMetrics()}
	in.bodies = clientbody.Reader{Listener: listenerClients, Account: account}
	in.echo.HideBanner = true
	in.echo.HidePort = true
	in.echo.Any("/*", in.forward)
	return in
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) { in.echo.ServeHTTP(w, r) }

// readinessHandler returns the handler of the load balancer's readiness checks.
func (in *ingress) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if in.draining.Load() || !in.follower.Snapshot().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (in *ingress) setDraining() { in.draining.Store(true) }

func (in *ingress) isDraining() bool { return in.draining.Load() }

// setRefusing refuses the requests that arrive from now on. Those that were accepted
// before go on.
func (in *ingress) setRefusing() { in.refusing.Store(true) }

// accept counts a request as running, unless requests are refused.
func (in *ingress) accept() bool {
	in.running.Add(1) // before the check, so that awaitEnd sees each accepted request
	if in.refusing.Load() {
		in.running.Add(-1)
		return false
	}
	return true
}

// awaitEnd waits until no request is running, at most until ctx ends.
func (in *ingress) awaitEnd(ctx context.Context) {
	for in.running.Load() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, runningPollInterval) // the loop checks ctx
	}
}

// hopByHop lists the headers that are not forwarded, since they apply to a single
// connection.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

func removeHopByHop(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// forward passes a client's request through the filter chain and writes the response.
func (in *ingress) forward(c echo.Context) error {
	arrived := time.Now()
	r := c.Request()
	w := c.Response().Writer
	if in.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req := in.newRequest(r, arrived)
	if !in.accept() {
		return in.writeError(w, req, errStopping())
	}
	defer in.running.Add(-1)
	body, held, err := in.bodies.Read(w, r, bodyLimit(req.Snapshot.Config))
	if err != nil {
		return in.writeError(w, req, err)
	}
	defer held.Release()
	req.Body = body
	// The body may have come slowly: what was known at the head of the request is out of date.
	if in.refusing.Load() {
		return in.writeError(w, req, errStopping())
	}
	req.Snapshot = in.follower.Snapshot()
	answer := in.bodies.NewResponse(w)
	defer answer.Release()
	req.AdmitResponse = answer.Admit
	response, err := in.handler.Handle(r.Context(), req)
	if err != nil {
		return in.writeError(w, req, err)
	}
	in.writeResponse(r.Context(), w, req, response, answer)
	return nil
}

// errStopping is the error of a request that a stopping gateway refuses.
func errStopping() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, "the gateway is stopping").WithRetryAfter(stoppingRetryAfter)
}

func (in *ingress) newRequest(r *http.Request, arrived time.Time) *forward.Request {
	header := r.Header
	metadata := in.headers.ReadRequest(header)
	removeHopByHop(header)
	return &forward.Request{
		Metadata: metadata,
		Arrived:  arrived,
		Method:   r.Method,
		URL:      r.URL,
		Host:     r.Host,
		Header:   header,
		Snapshot: in.follower.Snapshot(),
	}
}

// bodyLimit returns the largest size of a request's body.
func bodyLimit(current *deployment.Config) int64 {
	if current != nil && current.Limits.BodyBytes > 0 {
		return current.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// writeResponse writes a backend server's response to the client.
func (in *ingress) writeResponse(ctx context.Context, w http.ResponseWriter, req *forward.Request, response *forward.Response, answer *clientbody.Response) {
	header := w.Header()
	removeHopByHop(response.Header)
	for name, values := range response.Header {
		header[name] = values
	}
	if response.Events == nil {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
		w.WriteHeader(response.Status)
		err := answer.Write(w, response.Body)
		in.logResponse(req, response.Status, err)
		return
	}
	defer response.Events.Close()
	in.requestMetrics.recordFirstEvent(req)
	w.WriteHeader(response.Status)
	err := copyEvents(ctx, w, response.Events)
	in.logResponse(req, response.Status, err)
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection, so that the stream does not look complete
	}
}

// copyEvents writes events to the client as they arrive, each with its own deadline.
func copyEvents(ctx context.Context, w http.ResponseWriter, events forward.Events) error {
	controller := http.NewResponseController(w)
	for {
		raw, err := events.Next(ctx)
		if err == io.EOF { // not errors.Is: an error may wrap the io.EOF of a backend connection
			return nil
		}
		if err != nil {
			return err
		}
		if err := controller.SetWriteDeadline(time.Now().Add(slowWriteTimeout)); err != nil {
			return errors.Wrap(err, "set write deadline")
		}
		if _, err := w.Write(raw); err != nil {
			return errors.Wrap(err, "write to client")
		}
		if err := controller.Flush(); err != nil {
			return errors.Wrap(err, "flush to client")
		}
	}
}

// errorBody is the JSON body of the gateway's own error responses.
type errorBody struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

// writeError writes the error response for a request that the chain did not serve.
func (in *ingress) writeError(w http.ResponseWriter, req *forward.Request, err error) error {
	failure := verdict.From(err)
	status := failure.Status()
	header := w.Header()
	in.headers.SetRequestID(header, req.ID)
	header.Set("Content-Type", "application/json")
	if failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 {
		in.headers.SetRetryAfter(header, failure.RetryAfter)
	}
	body, marshalErr := json.Marshal(errorBody{Code: failure.Code, Message: failure.Message, Verdict: failure.Verdict.String()})
	if marshalErr != nil {
		return errors.Wrap(marshalErr, "encode error body")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	clientbody.LimitWrite(w)
	w.WriteHeader(status)
	_, writeErr := w.Write(body)
	in.logError(req, status, failure, writeErr)
	return nil
}

// logResponse records the duration of a request that a backend server answered, and
// logs it. err is the error that cut the response off, if any.
func (in *ingress) logResponse(req *forward.Request, status int, err error) {
	in.requestMetrics.recordDuration(req, status)
	f := in.logFields(req, status)
	if err != nil {
		f["error"] = err.Error()
		logger.Warn(f, "answer broke off")
		return
	}
	logger.Info(f, "answered")
}

// logError records the duration of a request that the gateway answered with an error,
// and logs it.
func (in *ingress) logError(req *forward.Request, status int, failure *verdict.Error, err error) {
	in.requestMetrics.recordDuration(req, status)
	f := in.logFields(req, status)
	f["code"], f["verdict"] = string(failure.Code), failure.Verdict.String()
	f["error"] = failure.Error()
	f["store_silence_ms"] = in.follower.Staleness(time.Now()).Milliseconds()
	if err != nil {
		f["write_error"] = err.Error()
	}
	logger.Warn(f, "refused")
}

func (in *ingress) logFields(req *forward.Request, status int) fields {
	f := fields{
		logging.FieldRequest: req.ID, "status": status, "ms": time.Since(req.Arrived).Milliseconds(),
		"attempts": req.Log.Attempts, "server": req.Log.Server, "position": req.Snapshot.Position.String(),
	}
	if req.Route != nil {
		f["route"] = req.Route.Name
	}
	if req.Resumes != "" {
		f["resumes"] = req.Resumes
	}
	if req.Log.Software != "" {
		f["software"] = req.Log.Software
	}
	if req.Workspace != nil {
		f["workspace"] = req.Workspace.Name
	}
	return f
}
