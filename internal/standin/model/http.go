package model

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/httpapi"
)

// PathFaults is the path that sets faults; see FaultsBody.
const PathFaults = "/admin/faults"

// FaultsBody is the body of a request to PathFaults. Times are in
// milliseconds.
type FaultsBody struct {
	Crash          bool    `json:"crash"`
	DownMs         int64   `json:"down_ms"` // with Crash: time until the restart
	FreezeMs       int64   `json:"freeze_ms"`
	LoseEvents     int     `json:"lose_events"`
	LoseRate       float64 `json:"lose_rate"` // probability that a later event is lost
	CutAfterChunks int     `json:"cut_after_chunks"`
	CutStreams     int     `json:"cut_streams"`
	CrossStreams   int     `json:"cross_streams"`
	AnswerDelayMs  int64   `json:"answer_delay_ms"`
	Limit          string  `json:"limit"`        // requests a second that responses name; empty: none
	Leaving        bool    `json:"leaving"`      // responses say that the engine leaves, until it restarts
	Refuse         bool    `json:"refuse"`       // generations are refused
	RetryAfter     string  `json:"retry_after"`  // seconds that refusals name; empty: none
	CrashPrompt    string  `json:"crash_prompt"` // crashes for DownMs when it begins to answer a prompt with this text
}

type handler struct {
	engine *Engine
}

// Handler serves e over HTTP.
func Handler(e *Engine) http.Handler {
	h := handler{engine: e}
	router := echo.New()
	router.Use(h.sayLeaving)
	router.POST(httpapi.PathCompletions, h.completions)
	router.GET(httpapi.PathState, h.state)
	router.GET(httpapi.PathEvents, h.events)
	router.POST(httpapi.PathOrders, h.orders)
	router.POST(httpapi.PathCancel, h.cancel)
	router.POST(httpapi.PathExport, h.export)
	router.POST(httpapi.PathImport, h.importPiece)
	router.POST(PathFaults, h.faults)
	return router
}

// fail responds with the error, or breaks the connection where a real engine
// would.
func fail(c echo.Context, err error) error {
	switch {
	case errors.Is(err, engine.ErrRefused):
		return c.JSON(http.StatusServiceUnavailable, httpapi.ErrorBody{Kind: httpapi.KindRefused, Message: err.Error()})
	case errors.Is(err, engine.ErrStaleFence):
		return c.JSON(http.StatusConflict, httpapi.ErrorBody{Kind: httpapi.KindStaleFence, Message: err.Error()})
	default:
		panic(http.ErrAbortHandler)
	}
}

func malformed(c echo.Context, err error) error {
	return c.JSON(http.StatusBadRequest, httpapi.ErrorBody{Kind: httpapi.KindRefused, Message: err.Error()})
}

func (h handler) completions(c echo.Context) error {
	if id := c.Request().Header.Get(engine.HeaderRequestID); id != "" {
		c.Response().Header().Set(engine.HeaderRequestID, id)
	}
	var req engine.GenerateRequest
	if err := c.Bind(&req); err != nil {
		return malformed(c, err)
	}
	h.nameLimit(c)
	if _, refuse, retryAfter := h.engine.faults.sayings(); refuse {
		if retryAfter != "" {
			c.Response().Header().Set("Retry-After", retryAfter)
		}
		return fail(c, errors.Wrap(engine.ErrRefused, "the engine takes no requests"))
	}
	chunks, err := h.engine.Generate(c.Request().Context(), req)
	if err != nil {
		return fail(c, err)
	}
	defer func() { _ = chunks.Close() }()
	startEventStream(c)
	for {
		chunk, err := chunks.Next()
		if errors.Is(err, io.EOF) {
			return writeLine(c, []byte("[DONE]"))
		}
		if err != nil {
			return fail(c, err)
		}
		if err := writeEvent(c, chunk); err != nil {
			return nil // the caller disconnected
		}
	}
}

// sayLeaving sets the header with which an engine that leaves says so in all responses.
func (h handler) sayLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if leaving, _, _ := h.engine.faults.sayings(); leaving {
			c.Response().Header().Set(engine.HeaderLeaving, "1")
		}
		return next(c)
	}
}

// nameLimit sets the header with the engine's limit, if it has one.
func (h handler) nameLimit(c echo.Context) {
	if limit := h.engine.faults.limit(); limit != "" {
		c.Response().Header().Set(engine.HeaderLimit, limit)
	}
}

func startEventStream(c echo.Context) {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
}

func writeEvent(c echo.Context, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return writeLine(c, data)
}

func writeLine(c echo.Context, data []byte) error {
	line := append([]byte("data: "), data...)
	_, err := c.Response().Write(append(line, "\n\n"...))
	c.Response().Flush()
	return err
}

func (h handler) state(c echo.Context) error {
	state, err := h.engine.State(c.Request().Context())
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, state)
}

func (h handler) events(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(httpapi.QueryAfter), 10, 64)
	if err != nil {
		return malformed(c, err)
	}
	events, err := h.engine.Events(c.Request().Context(), after)
	if err != nil {
		return fail(c, err)
	}
	startEventStream(c)
	for event := range events {
		if err := writeEvent(c, event); err != nil {
			break
		}
	}
	panic(http.ErrAbortHandler) // an event stream has no regular end
}

func (h handler) orders(c echo.Context) error {
	var order engine.Order
	if err := c.Bind(&order); err != nil {
		return malformed(c, err)
	}
	return h.respond(c, h.engine.Apply(c.Request().Context(), order))
}

func (h handler) cancel(c echo.Context) error {
	var body httpapi.CancelBody
	if err := c.Bind(&body); err != nil {
		return malformed(c, err)
	}
	return h.respond(c, h.engine.Cancel(c.Request().Context(), body.RequestID))
}

func (h handler) export(c echo.Context) error {
	var body httpapi.PieceBody
	if err := c.Bind(&body); err != nil {
		return malformed(c, err)
	}
	data, err := h.engine.ExportPiece(c.Request().Context(), body.Salt, body.Blocks)
	if err != nil {
		return fail(c, err)
	}
	body.Data = data
	return c.JSON(http.StatusOK, body)
}

func (h handler) importPiece(c echo.Context) error {
	var body httpapi.PieceBody
	if err := c.Bind(&body); err != nil {
		return malformed(c, err)
	}
	return h.respond(c, h.engine.ImportPiece(c.Request().Context(), body.Salt, body.Blocks, body.Data))
}

func (h handler) respond(c echo.Context, err error) error {
	if err != nil {
		return fail(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (h handler) faults(c echo.Context) error {
	var body FaultsBody
	if err := c.Bind(&body); err != nil {
		return malformed(c, err)
	}
	h.engine.SetFaults(Faults{
		CutAfterChunks: body.CutAfterChunks,
		CutStreams:     body.CutStreams,
		CrossStreams:   body.CrossStreams,
		AnswerDelay:    milliseconds(body.AnswerDelayMs),
		Limit:          body.Limit,
		Leaving:        body.Leaving,
		Refuse:         body.Refuse,
		RetryAfter:     body.RetryAfter,
		CrashPrompt:    body.CrashPrompt,
		CrashDown:      milliseconds(body.DownMs),
	})
	h.engine.LoseEvents(body.LoseEvents, body.LoseRate)
	if body.FreezeMs > 0 {
		h.engine.Freeze(milliseconds(body.FreezeMs))
	}
	if body.Crash {
		defer func() { go h.engine.Crash(milliseconds(body.DownMs)) }()
	}
	return c.NoContent(http.StatusNoContent)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
