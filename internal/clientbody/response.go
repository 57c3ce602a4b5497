package clientbody

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clientconn"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/clock"
)

// ErrNoRoom means that there is no memory for a response.
var ErrNoRoom = errors.New("no memory for the response")

var errUnread = errors.New("the client does not read the response")

// Response accounts for a response that is read as a whole and written to a client. It is used by
// one goroutine.
type Response struct {
	listener string
	account  *clientmem.Account
	control  *http.ResponseController
	item     *clientmem.Item
	waiting  atomic.Bool // for room; nothing is being written
}

// NewResponse returns the account of a response that will be written to w.
func (d Reader) NewResponse(w http.ResponseWriter) *Response {
	return &Response{listener: d.Listener, account: d.Account, control: http.NewResponseController(w)}
}

// Admit waits for memory for the first bytes of the response. It returns ErrNoRoom if there is none,
// also when the context ends meanwhile.
func (p *Response) Admit(ctx context.Context, bytes int64) error {
	if p == nil || p.account == nil || p.item == nil && bytes <= clientmem.SmallBytes {
		return nil
	}
	now := time.Now()
	if p.item == nil {
		p.item = p.account.NewItem(p.evict, now)
		p.item.SetEvictable(false, now)
	}
	if p.item.Resize(bytes, now) {
		return nil
	}
	err := p.awaitRoom(ctx, bytes, now)
	if err != nil {
		clientconn.Count(p.listener, clientconn.ReasonAnswerMemory)
	}
	return err
}

// evict interrupts the writing of the response.
func (p *Response) evict() {
	if !p.waiting.Load() {
		_ = p.control.SetWriteDeadline(time.Unix(1, 0)) // an error means that there is no connection
	}
}

// awaitRoom waits for memory for the first bytes of the response. Meanwhile the response may give
// way to others: they would block each other if each kept a part and waited for the rest.
func (p *Response) awaitRoom(ctx context.Context, bytes int64, now time.Time) error {
	p.waiting.Store(true) // until there is room
	p.item.SetEvictable(true, now)
	for end := now.Add(roomTimeout); ; {
		if err := clock.Sleep(ctx, roomInterval); err != nil {
			return errors.Wrap(ErrNoRoom, err.Error())
		}
		now = time.Now()
		if p.item.Resize(bytes, now) {
			break
		}
		if evicted := !p.item.Progress(0, now); evicted || now.After(end) {
			return ErrNoRoom
		}
	}
	if !p.item.SetEvictable(false, now) {
		return ErrNoRoom
	}
	p.waiting.Store(false)
	return nil
}

// Write writes the body. It returns an error if the client reads too slowly.
func (p *Response) Write(w http.ResponseWriter, body []byte) error {
	now := time.Now()
	p.item.SetEvictable(true, now)
	for written := 0; ; now = time.Now() {
		if !p.item.Progress(int64(written), now) {
			return p.unread(errUnread)
		}
		if written == len(body) {
			return nil
		}
		_ = p.control.SetWriteDeadline(now.Add(stallTimeout)) // an error shows in the write
		n, err := w.Write(body[written:min(len(body), written+writeBytes)])
		written += n
		if err != nil {
			return p.unread(err)
		}
	}
}

func (p *Response) unread(err error) error {
	clientconn.Count(p.listener, clientconn.ReasonUnread)
	return err
}

// Release drops the response.
func (p *Response) Release() { p.item.Release() }

// WriteAll writes a body to a client, with a floor on its progress but without an account.
func (d Reader) WriteAll(w http.ResponseWriter, body []byte) error {
	return (&Response{listener: d.Listener, control: http.NewResponseController(w)}).Write(w, body)
}

// LimitWrite bounds the time until the next bytes are written to a client.
func LimitWrite(w http.ResponseWriter) {
	// An error means that there is no connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(stallTimeout))
}
