package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wasabigate/wasabigate/internal/clientbody"
)

// eventWriter writes server-sent events and flushes after each frame.
type eventWriter struct {
	response *echo.Response
	started  bool
	buffer   []byte
}

func newEventWriter(response *echo.Response) *eventWriter {
	return &eventWriter{response: response}
}

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	header := w.response.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("X-Accel-Buffering", "no")
	w.response.WriteHeader(http.StatusOK)
}

// write sends the chunks of one frame. The last event has the given ID, the
// position after the frame.
func (w *eventWriter) write(id string, chunks []completion) error {
	if len(chunks) == 0 {
		return nil
	}
	w.start()
	w.buffer = w.buffer[:0]
	for i := range chunks {
		if i == len(chunks)-1 {
			w.buffer = append(w.buffer, "id: "...)
			w.buffer = append(w.buffer, id...)
			w.buffer = append(w.buffer, '\n')
		}
		w.buffer = append(w.buffer, "data: "...)
		w.buffer = append(w.buffer, encode(chunks[i])...)
		w.buffer = append(w.buffer, "\n\n"...)
	}
	return w.flush()
}

// finish ends a complete stream with the end marker.
func (w *eventWriter) finish() error {
	w.start()
	w.buffer = append(w.buffer[:0], "data: [DONE]\n\n"...)
	return w.flush()
}

// writeError ends an incomplete stream with an error event.
func (w *eventWriter) writeError(body errorBody) {
	w.buffer = append(w.buffer[:0], "event: error\ndata: "...)
	w.buffer = append(w.buffer, encode(body)...)
	w.buffer = append(w.buffer, "\n\n"...)
	_ = w.flush()
}

func (w *eventWriter) flush() error {
	clientbody.LimitWrite(w.response)
	if _, err := w.response.Write(w.buffer); err != nil {
		return err
	}
	w.response.Flush()
	return nil
}
