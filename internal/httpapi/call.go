package httpapi

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/wasabigate/wasabigate/internal/credential"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// call serves the routes of plain services.
func (s *Server) call(c echo.Context) error {
	req, err := s.newRequest(c)
	if err != nil {
		return err
	}
	req.ResumeToken = ""
	if req.Route.IsGeneration() {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for %s %s", c.Request().Method, c.Request().URL.Path)
	}
	body, held, err := s.bodies.Read(c.Response(), c.Request(), s.options.Settings.Router.MaxBodyBytes)
	if err != nil {
		return err
	}
	defer held.Release()
	req.Call = newCall(c.Request(), req, body)
	if req.Call.GetOnce() {
		c.Response().Header().Set(HeaderIdempotencyKey, req.Call.GetIdempotencyKey())
	}
	return s.run(c, req, func(ctx context.Context, stream request.Stream) error {
		return s.writeReply(ctx, c, stream)
	})
}

func newCall(r *http.Request, req *request.Request, body []byte) *wire.Call {
	call := &wire.Call{
		Method:  r.Method,
		Path:    req.Route.ServicePath(r.URL.RequestURI()),
		Headers: forwardedHeaders(r.Header),
		Body:    body,
		Once:    req.Route.AtMostOnce,
	}
	if call.Once {
		call.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	}
	if call.Once && call.IdempotencyKey == "" {
		call.IdempotencyKey = uuid.NewString()
	}
	return call
}

// droppedHeaders are not forwarded in either direction: those of a single
// connection, and those that may contain a caller's key.
var droppedHeaders = append([]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Cookie", "Set-Cookie", "Host",
}, credential.Headers...)

func forwardedHeaders(header http.Header) []*wire.Header {
	var forwarded []*wire.Header
	for name, values := range header {
		if slices.Contains(droppedHeaders, name) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &wire.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

// writeReply writes the plain service's reply as the response.
func (s *Server) writeReply(ctx context.Context, c echo.Context, stream request.Stream) error {
	for {
		frame, err := stream.Next(ctx)
		if err == io.EOF {
			return verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the answer ended early")
		}
		if err != nil {
			return err
		}
		if reply := frame.GetReply(); reply != nil {
			return s.sendReply(c, reply)
		}
	}
}

func (s *Server) sendReply(c echo.Context, reply *wire.Reply) error {
	if status := int(reply.GetStatus()); verdict.PromisesNotRun(status) || !verdict.IsFinalStatus(status) {
		return verdict.New(verdict.Ran, verdict.CodeBackendFailed, "the service answered with status %d", status)
	}
	header := c.Response().Header()
	requestID := header.Get(HeaderRequestID)
	for _, h := range reply.GetHeaders() {
		if !slices.Contains(droppedHeaders, http.CanonicalHeaderKey(h.GetName())) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	header.Set(HeaderRequestID, requestID)
	header.Set(HeaderVerdict, verdict.Ran.String())
	if reply.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
	c.Response().WriteHeader(int(reply.GetStatus()))
	return s.bodies.WriteAll(c.Response(), reply.GetBody())
}
