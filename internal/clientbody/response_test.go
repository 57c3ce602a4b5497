package clientbody

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clientmem"
)

// Responses that each hold a part of their memory and wait for the rest must not block each other
// until all of them fail.
func TestPartlyReadResponsesDoNotBlockEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses, size, room = 40, 1 << 20, 7 // responses that fit into the account at once
		reader := Reader{Listener: "test", Account: clientmem.New((room + 1) * size * 4 / 3)}
		var group sync.WaitGroup
		var complete, refused atomic.Int64
		var first sync.Once
		began := time.Now()
		for range responses {
			group.Go(func() {
				response := reader.NewResponse(httptest.NewRecorder())
				defer response.Release()
				for bytes := int64(16 << 10); bytes <= size; bytes *= 2 {
					time.Sleep(time.Millisecond)
					if err := response.Admit(context.Background(), bytes); errors.Is(err, ErrNoRoom) {
						refused.Add(1)
						return
					}
				}
				complete.Add(1)
				first.Do(func() {
					if took := time.Since(began); took >= roomTimeout {
						t.Errorf("the first response is complete after %v", took)
					}
				})
			})
		}
		group.Wait()
		if n := complete.Load(); n < room || n+refused.Load() != responses {
			t.Errorf("%d of %d responses complete, %d refused, want at least %d complete", n, responses, refused.Load(), room)
		}
	})
}

// A response whose deadline passes while it waits for memory is told apart from one that its server
// broke off.
func TestDeadlineWhileWaitingForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := Reader{Listener: "test", Account: clientmem.New(1 << 20)}
		held := reader.NewResponse(httptest.NewRecorder())
		defer held.Release()
		if err := held.Admit(context.Background(), 700<<10); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response := reader.NewResponse(httptest.NewRecorder())
		defer response.Release()
		if err := response.Admit(ctx, 700<<10); !errors.Is(err, ErrNoRoom) {
			t.Errorf("got %v, want %v", err, ErrNoRoom)
		}
	})
}
