package conntrace

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxCarried bounds the ids that a connection remembers. A connection that has carried as
// many requests is closed.
const maxCarried = 1024

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Remember returns a Dial whose connections remember the requests that they have carried. A
// server may write a response a second time, which can't be told from that to another
// request with the same id on the same connection. They also record how much of a request from a
// Transport or with an AttachOnce has been written.
func Remember(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened, ended: make(chan struct{})}, nil
	}
}

// conn is a connection that remembers the ids of its requests.
type conn struct {
	net.Conn
	upload upload

	ended   chan struct{} // closed when a read has failed or the connection is closed
	endOnce sync.Once

	mu      sync.Mutex
	carried []uint64 // hashes of ids
}

// carry records that the connection is to carry a request, unless it has carried its id or as
// many requests as it may.
func (c *conn) carry(id string) bool {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.carried) >= maxCarried || slices.Contains(c.carried, hash) {
		return false
	}
	c.carried = append(c.carried, hash)
	return true
}
