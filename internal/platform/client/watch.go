package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// defaultWatchIdleTimeout is the time without events or heartbeats after which a watch
// counts as broken.
const defaultWatchIdleTimeout = 3 * httpapi.WatchHeartbeat

// watch is an open watch over HTTP.
type watch struct {
	body        io.ReadCloser
	era         platform.Era
	timer       *time.Timer // cancels the call
	idleTimeout time.Duration
	events      chan platform.Event
}

// Watch implements platform.KV. The watch breaks if the service sends neither events nor
// heartbeats.
func (k *KV) Watch(ctx context.Context, prefix string, after platform.Version) (<-chan platform.Event, error) {
	query := url.Values{
		httpapi.QueryPrefix: {prefix},
		httpapi.QueryAfter:  {strconv.FormatUint(after.Revision(), 10)},
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(k.timeout, cancel)
	start := time.Now()
	response, err := k.openWatch(ctx, query, after)
	recordCall(ctx, httpapi.PathWatch, start, err)
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	opened := &watch{
		body:        response.Body,
		era:         k.eraOf(response.Header),
		timer:       timer,
		idleTimeout: k.watchIdleTimeout,
		events:      make(chan platform.Event),
	}
	go func() {
		defer cancel()
		opened.run(ctx)
	}()
	return opened.events, nil
}

// openWatch starts the call. It returns ErrCompacted if after is of an earlier era.
func (k *KV) openWatch(ctx context.Context, query url.Values, after platform.Version) (*http.Response, error) {
	response, err := k.open(ctx, httpapi.PathWatch, query)
	if err != nil {
		return nil, err
	}
	if era := k.eraOf(response.Header); after != 0 && after.Era() != era {
		_ = response.Body.Close()
		return nil, errors.Wrapf(platform.ErrCompacted, "%s: version of era %d, now %d", httpapi.PathWatch, after.Era(), era)
	}
	return response, nil
}

// run forwards events until the watch breaks or ctx is done.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	defer func() { _ = w.body.Close() }()
	decoder := json.NewDecoder(w.body)
	for {
		line, err := w.next(decoder)
		if err != nil {
			return
		}
		if line.Event == nil {
			continue
		}
		event := platform.Event{Entry: platform.Entry(*line.Event), Deleted: line.Deleted}
		event.Version = platform.NewVersion(w.era, uint64(event.Version))
		select {
		case w.events <- event:
		case <-ctx.Done():
			return
		}
	}
}

// next reads a line within the idle time-out. The time that the receiver of the events
// takes does not count.
func (w *watch) next(decoder *json.Decoder) (httpapi.WatchLine, error) {
	var line httpapi.WatchLine
	w.timer.Reset(w.idleTimeout)
	defer w.timer.Stop()
	err := decoder.Decode(&line)
	return line, errors.Wrap(err, "watch")
}
