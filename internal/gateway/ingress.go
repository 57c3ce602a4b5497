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
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Headers reads and writes the platform's headers.
type Headers interface {
	backend.Codec
	// ReadRequest returns what a client's headers say, and removes those that only
	// the system may set.
	ReadRequest(header http.Header) forward.Facts
	SetRetryAfter(header http.Header, after time.Duration)
	SetRequestID(header http.Header, id string)
}

const (
	// defaultBodyBytes bounds a body while no configuration is known.
	defaultBodyBytes = 4 << 20
	// slowWriteTimeout bounds a write to a client that does not read.
	slowWriteTimeout = 10 * time.Second
)

// ingress serves clients.
type ingress struct {
	follower *follower.Follower
	headers  Headers
	handler  forward.Handler
	echo     *echo.Echo
	meters   meters
	draining atomic.Bool
}

func newIngress(f *follower.Follower, headers Headers, handler forward.Handler) *ingress {
	in := &ingress{follower: f, headers: headers, handler: handler, echo: echo.New(), meters: newMeters()}
	in.echo.HideBanner = true
	in.echo.HidePort = true
	in.echo.Any("/*", in.forward)
	return in
}

// ServeHTTP implements http.Handler.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) { in.echo.ServeHTTP(w, r) }

// checks serves the balancer's readiness checks.
func (in *ingress) checks() http.Handler {
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

// hopByHop are the headers that concern one connection only.
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

// forward passes a client's request through the chain and its answer back.
func (in *ingress) forward(c echo.Context) error {
	arrived := time.Now()
	r := c.Request()
	w := c.Response().Writer
	if in.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req := in.request(r, arrived)
	var err error
	req.Body, err = readBody(w, r, req.Snapshot.Config)
	if err != nil {
		return in.refuse(w, req, err)
	}
	answer, err := in.handler.Handle(r.Context(), req)
	if err != nil {
		return in.refuse(w, req, err)
	}
	in.write(r.Context(), w, req, answer)
	return nil
}

func (in *ingress) request(r *http.Request, arrived time.Time) *forward.Request {
	header := r.Header
	facts := in.headers.ReadRequest(header)
	removeHopByHop(header)
	return &forward.Request{
		Facts:    facts,
		Arrived:  arrived,
		Method:   r.Method,
		URL:      r.URL,
		Host:     r.Host,
		Header:   header,
		Snapshot: in.follower.Snapshot(),
	}
}

// readBody reads the body whole, so that it can be sent again.
func readBody(w http.ResponseWriter, r *http.Request, current *deployment.Config) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if current != nil && current.Limits.BodyBytes > 0 {
		limit = current.Limits.BodyBytes
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "the body can't be read")
	}
	return body, nil
}

// write passes an answer on.
func (in *ingress) write(ctx context.Context, w http.ResponseWriter, req *forward.Request, answer *forward.Answer) {
	header := w.Header()
	removeHopByHop(answer.Header)
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Events == nil {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		_, err := w.Write(answer.Body)
		in.finished(req, answer.Status, err)
		return
	}
	defer answer.Events.Close()
	in.meters.began(req)
	w.WriteHeader(answer.Status)
	err := copyEvents(ctx, w, answer.Events)
	in.finished(req, answer.Status, err)
	if err != nil {
		panic(http.ErrAbortHandler) // the stream must not look complete
	}
}

// copyEvents passes events on as they arrive.
func copyEvents(ctx context.Context, w http.ResponseWriter, events forward.Events) error {
	controller := http.NewResponseController(w)
	for {
		raw, err := events.Next(ctx)
		if err == io.EOF { // not errors.Is: a failure may wrap the EOF of a connection
			return nil
		}
		if err != nil {
			return err
		}
		if err := controller.SetWriteDeadline(time.Now().Add(slowWriteTimeout)); err != nil {
			return errors.Wrap(err, "write deadline")
		}
		if _, err := w.Write(raw); err != nil {
			return errors.Wrap(err, "client")
		}
		if err := controller.Flush(); err != nil {
			return errors.Wrap(err, "client")
		}
	}
}

// failureBody is the body of an answer of the gateway's own.
type failureBody struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	Verdict string       `json:"verdict"`
}

// refuse answers a request that no server has served.
func (in *ingress) refuse(w http.ResponseWriter, req *forward.Request, err error) error {
	failure := verdict.From(err)
	status := failure.Code.Status()
	if failure.Verdict == verdict.NotRun && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	header := w.Header()
	in.headers.SetRequestID(header, req.ID)
	header.Set("Content-Type", "application/json")
	if failure.Verdict == verdict.NotRun && failure.RetryAfter > 0 {
		in.headers.SetRetryAfter(header, failure.RetryAfter)
	}
	body, marshalErr := json.Marshal(failureBody{Code: failure.Code, Message: failure.Message, Verdict: failure.Verdict.String()})
	if marshalErr != nil {
		return errors.Wrap(marshalErr, "failure body")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, writeErr := w.Write(body)
	in.refused(req, status, failure, writeErr)
	return nil
}

// finished logs the end of a request that a server answered.
func (in *ingress) finished(req *forward.Request, status int, err error) {
	in.meters.ended(req, status)
	f := in.fieldsOf(req, status)
	if err != nil {
		f["error"] = err.Error()
		logger.Warn(f, "answer broke off")
		return
	}
	logger.Info(f, "answered")
}

// refused logs the end of a request that the gateway answered itself.
func (in *ingress) refused(req *forward.Request, status int, failure *verdict.Error, err error) {
	in.meters.ended(req, status)
	f := in.fieldsOf(req, status)
	f["code"], f["verdict"] = string(failure.Code), failure.Verdict.String()
	f["error"] = failure.Error()
	f["store_silence_ms"] = in.follower.Silence(time.Now()).Milliseconds()
	if err != nil {
		f["write_error"] = err.Error()
	}
	logger.Warn(f, "refused")
}

func (in *ingress) fieldsOf(req *forward.Request, status int) fields {
	f := fields{
		logging.FieldRequest: req.ID, "status": status, "ms": time.Since(req.Arrived).Milliseconds(),
		"attempts": req.Log.Attempts, "server": req.Log.Server, "position": req.Snapshot.Position,
	}
	if req.Route != nil {
		f["route"] = req.Route.Name
	}
	if req.Workspace != nil {
		f["workspace"] = req.Workspace.Name
	}
	return f
}
