package kv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// PathBreakWatches is the admin path that breaks all watches.
const PathBreakWatches = "/admin/watches/break" // POST {}

// PathRestore is the admin path that restores the service from an older copy.
const PathRestore = "/admin/restore" // POST RestoreRequest

// RestoreRequest is a request to restore the service.
type RestoreRequest struct {
	Age web.Duration `json:"age"` // of the copy
}

// handler serves a Store over HTTP.
type handler struct {
	store *Store
}

// Handler serves s over HTTP, with its admin endpoint.
func Handler(s *Store) http.Handler {
	h := handler{s}
	e := web.New()
	e.Use(h.addEra)
	e.GET(httpapi.PathEntry, h.get)
	e.GET(httpapi.PathEntries, h.list)
	e.GET(httpapi.PathWatch, h.watch)
	e.POST(httpapi.PathSwap, web.PostUpTo(httpapi.MaxBodyBytes, h.swap))
	e.POST(httpapi.PathDelete, web.Post(h.delete))
	e.POST(httpapi.PathLeaseGrant, web.Post(h.grant))
	e.POST(httpapi.PathLeaseRenew, web.Post(h.renew))
	e.POST(httpapi.PathLeaseRevoke, web.Post(h.revoke))
	e.POST(PathBreakWatches, web.Post(h.breakWatches))
	e.POST(PathRestore, web.Post(h.restore))
	web.AddAdmin(e, s)
	return e
}

// addEra adds the store's era to each response.
func (h handler) addEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h.setEra(c, h.store.Era())
		return next(c)
	}
}

func (handler) setEra(c echo.Context, era platform.Era) {
	c.Response().Header().Set(httpapi.HeaderEra, strconv.FormatUint(uint64(era), 10))
}

// inEra returns the version of a revision that a client expects. In the current era it is
// 0 for an absent key.
func (h handler) inEra(revision platform.Version) platform.Version {
	return platform.NewVersion(h.store.Era(), uint64(revision))
}

// message returns an entry as it is sent: with the revision for a version.
func message(entry platform.Entry) httpapi.Entry {
	entry.Version = platform.Version(entry.Version.Revision())
	return httpapi.Entry(entry)
}

func (h handler) restore(_ echo.Context, q RestoreRequest) (httpapi.Done, error) {
	h.store.Restore(time.Duration(q.Age))
	return httpapi.Done{}, nil
}

func (h handler) get(c echo.Context) error {
	entry, err := h.store.Get(c.Request().Context(), c.QueryParam(httpapi.QueryKey))
	if err != nil {
		return err
	}
	h.setEra(c, entry.Version.Era())
	return c.JSON(http.StatusOK, message(entry))
}

func (h handler) list(c echo.Context) error {
	entries, err := h.store.List(c.Request().Context(), c.QueryParam(httpapi.QueryPrefix))
	if err != nil {
		return err
	}
	response := httpapi.Entries{Entries: make([]httpapi.Entry, len(entries))}
	for i, entry := range entries {
		h.setEra(c, entry.Version.Era())
		response.Entries[i] = message(entry)
	}
	return c.JSON(http.StatusOK, response)
}

func (h handler) swap(c echo.Context, q httpapi.SwapRequest) (httpapi.SwapResponse, error) {
	version, err := h.store.CompareAndSwap(c.Request().Context(), q.Key, q.Value, h.inEra(q.Expected), q.Lease)
	if err != nil {
		return httpapi.SwapResponse{}, err
	}
	h.setEra(c, version.Era())
	return httpapi.SwapResponse{Version: platform.Version(version.Revision())}, nil
}

func (h handler) delete(c echo.Context, q httpapi.DeleteRequest) (httpapi.Done, error) {
	return web.Finished(h.store.Delete(c.Request().Context(), q.Key, h.inEra(q.Expected)))
}

func (h handler) grant(c echo.Context, q httpapi.LeaseRequest) (httpapi.LeaseResponse, error) {
	ttl := time.Duration(q.TTLMilliseconds) * time.Millisecond
	id, err := h.store.GrantLease(c.Request().Context(), ttl)
	return httpapi.LeaseResponse{ID: id}, err
}

func (h handler) renew(c echo.Context, q httpapi.LeaseRequest) (httpapi.Done, error) {
	return web.Finished(h.store.RenewLease(c.Request().Context(), q.ID))
}

func (h handler) revoke(c echo.Context, q httpapi.LeaseRequest) (httpapi.Done, error) {
	return web.Finished(h.store.RevokeLease(c.Request().Context(), q.ID))
}

func (h handler) breakWatches(echo.Context, httpapi.Done) (httpapi.Done, error) {
	h.store.BreakWatches()
	return httpapi.Done{}, nil
}

// watch writes a line per change until the watch breaks, and heartbeats while
// nothing changes.
func (h handler) watch(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam(httpapi.QueryAfter), 10, 64)
	if err != nil {
		return errors.Wrap(err, httpapi.QueryAfter)
	}
	ctx := c.Request().Context()
	events, err := h.store.Watch(ctx, c.QueryParam(httpapi.QueryPrefix), platform.NewVersion(h.store.Era(), after))
	if err != nil {
		return err
	}
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	return stream(c.Response(), events)
}

// stream writes the lines of a watch.
func stream(out *echo.Response, events <-chan platform.Event) error {
	heartbeat := time.NewTicker(httpapi.WatchHeartbeat)
	defer heartbeat.Stop()
	lines := json.NewEncoder(out)
	for {
		var line httpapi.WatchLine
		select {
		case event, open := <-events:
			if !open {
				return nil
			}
			entry := message(event.Entry)
			line = httpapi.WatchLine{Event: &entry, Deleted: event.Deleted}
		case <-heartbeat.C:
		}
		if err := lines.Encode(line); err != nil {
			return errors.Wrap(err, "watch")
		}
		out.Flush()
	}
}
