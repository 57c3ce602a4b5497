package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/standin/outage"
)

// Admin paths for tests.
const (
	PathExecutions = "/admin/executions"
	PathSeen       = "/admin/seen"
	PathFaults     = "/admin/faults"
)

var logger = logging.For("service")

// FaultsBody is the body of a request to PathFaults; see Faults. Times are in
// milliseconds. It lacks Faults.Down, since a service that is down permanently
// can't be reached over HTTP to start it again; use crash and down_ms.
type FaultsBody struct {
	DownMs      int64  `json:"down_ms"`
	CrashBefore int    `json:"crash_before"`
	CrashAfter  int    `json:"crash_after"`
	CutAfter    int    `json:"cut_after"`
	CrossIDs    int    `json:"cross_ids"`
	DelayMs     int64  `json:"delay_ms"`
	Leaving     bool   `json:"leaving"`
	Refuse      bool   `json:"refuse"`
	RetryAfter  string `json:"retry_after"`
	Crash       bool   `json:"crash"` // crash now, for down_ms
}

type handler struct {
	service *Service
}

// Handler serves s over HTTP.
func Handler(s *Service) http.Handler {
	h := handler{service: s}
	router := echo.New()
	router.GET(PathExecutions, h.executions)
	router.GET(PathSeen, h.seen)
	router.POST(PathFaults, h.faults)
	router.Any("/*", h.call)
	return router
}

func (h handler) call(c echo.Context) error {
	req := c.Request()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	reply, err := h.service.Call(req.Context(), engine.CallRequest{
		RequestID: req.Header.Get(engine.HeaderRequestID),
		Method:    req.Method,
		Path:      req.URL.RequestURI(),
		Header:    req.Header,
		Body:      body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range reply.Header {
		c.Response().Header()[name] = values
	}
	return c.Blob(reply.Status, reply.Header.Get(echo.HeaderContentType), reply.Body)
}

func (h handler) executions(c echo.Context) error {
	return c.JSON(http.StatusOK, h.service.Executions())
}

func (h handler) seen(c echo.Context) error {
	return c.JSON(http.StatusOK, h.service.Seen())
}

func (h handler) faults(c echo.Context) error {
	var body FaultsBody
	if err := c.Bind(&body); err != nil {
		return err
	}
	h.service.SetFaults(Faults{
		CrashBefore: body.CrashBefore,
		CrashAfter:  body.CrashAfter,
		DownTime:    milliseconds(body.DownMs),
		CutAfter:    body.CutAfter,
		CrossIDs:    body.CrossIDs,
		Delay:       milliseconds(body.DelayMs),
		Leaving:     body.Leaving,
		Refuse:      body.Refuse,
		RetryAfter:  body.RetryAfter,
	})
	if body.Crash {
		defer h.service.crash()
	}
	return c.NoContent(http.StatusNoContent)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Serve serves s on listener until ctx ends. While s is down, its address
// refuses connections.
func Serve(ctx context.Context, s *Service, listener net.Listener) error {
	return outage.Serve(ctx, &s.power, Handler(s), listener)
}

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in of a plain service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDR` to listen on"},
			&cli.StringFlag{Name: "name", Value: "desk", Usage: "name of the server in its replies"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	listener, err := net.Listen("tcp", cmd.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := New(cmd.String("name"))
	defer s.Close()
	logger.Info(logging.Fields{"address": listener.Addr().String()}, "serving")
	return Serve(ctx, s, listener)
}
