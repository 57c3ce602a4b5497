package execute

import (
	"context"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/wasabigate/wasabigate/internal/credential"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const (
	headerConnection    = "Connection"
	headerContentLength = "Content-Length"
)

// call sends a call to the plain service once, within its route's time-out.
func (x *executor) call(ctx context.Context, j *job.Job) (job.Outcome, *verdict.Error) {
	req := j.Request
	if j.Route != nil && j.Route.Timeout > 0 {
		callCtx, cancel := context.WithTimeout(ctx, j.Route.Timeout)
		defer cancel()
		ctx = callCtx
	}
	sent := time.Now()
	reply, err := x.service.Call(ctx, callRequest(req))
	if err != nil {
		failure := backendError(ctx, err, "call failed")
		failure.Crashed = x.ends.observe(ctx, sent, err)
		return nil, failure
	}
	if reply.RequestID != "" && reply.RequestID != req.RequestId {
		countMismatched(ctx)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer belongs to another request")
	}
	return &wire.Frame{Reply: &wire.Reply{
		Status:  int32(reply.Status),
		Headers: replyHeaders(reply.Header),
		Body:    reply.Body,
	}}, nil
}

func callRequest(req *wire.ExecuteRequest) engine.CallRequest {
	header := make(http.Header, len(req.Call.Headers))
	for _, h := range req.Call.Headers {
		header.Add(h.Name, h.Value)
	}
	removeHopHeaders(header)
	for _, name := range credential.Headers { // the router removes them too
		header.Del(name)
	}
	header.Set(engine.HeaderRequestID, req.RequestId)
	return engine.CallRequest{
		RequestID: req.RequestId,
		Method:    req.Call.Method,
		Path:      req.Call.Path,
		Header:    header,
		Body:      req.Call.Body,
	}
}

// replyHeaders returns the end-to-end headers, sorted by name, without those that concern the
// sidecar only.
func replyHeaders(header http.Header) []*wire.Header {
	header = header.Clone()
	removeHopHeaders(header)
	for _, name := range []string{headerContentLength, engine.HeaderLeaving, engine.HeaderInstance} {
		header.Del(name)
	}
	var list []*wire.Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		for _, value := range header[name] {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}

// removeHopHeaders removes the hop-by-hop headers and those that the Connection
// header lists.
func removeHopHeaders(header http.Header) {
	for _, value := range header[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
