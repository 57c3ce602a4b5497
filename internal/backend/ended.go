package backend

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/tcpdial"
)

// recheckDelay is the time between the two checks of ProcessEnded: a process that ends may
// close its connections before its listener.
const recheckDelay = 50 * time.Millisecond

// ProcessEnded reports whether no process serves an address: the host refuses connections.
// It returns false if the host does not respond.
func ProcessEnded(ctx context.Context, address string) bool {
	dialer := tcpdial.NewDialer(dialTimeout)
	for range 2 {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close() // nothing was sent
		if clock.Sleep(ctx, recheckDelay) != nil {
			return false
		}
	}
	return false
}
