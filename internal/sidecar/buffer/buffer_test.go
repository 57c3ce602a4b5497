package buffer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const testRetention = 5 * time.Second

func newTable() *Table {
	return New(Options{
		Settings:  &config.SidecarSettings{StreamRetention: testRetention},
		Revisions: func() *wire.Revisions { return &wire.Revisions{Document: 7} },
	})
}

func open(t *testing.T, table *Table, id string) OpenResult {
	t.Helper()
	opened := table.Open(&wire.ExecuteRequest{RequestId: id, Attempt: 1, Workspace: "north", KeyId: "k1"})
	if opened.Context == nil {
		t.Fatalf("attempt %s already exists", id)
	}
	return opened
}

// addFrames adds a head, count token frames and a tail.
func addFrames(b *Buffer, count int) {
	b.Append(&wire.Frame{Head: &wire.Head{Model: "m"}})
	for i := range count {
		b.Append(&wire.Frame{Tokens: &wire.Tokens{Text: fmt.Sprint("token ", i), Count: 1}})
	}
	b.Finish(&wire.Frame{Tail: &wire.Tail{FinishReason: "stop"}})
}

var errDisconnected = errors.New("connection cut")

// readUntil returns the encoded frames and fails with errDisconnected after cut
// frames; with cut 0 it reads all.
func readUntil(ctx context.Context, b *Buffer, after uint64, cut int) ([]string, error) {
	var read []string
	err := b.Read(ctx, after, func(frame *wire.Frame) error {
		if cut > 0 && len(read) == cut {
			return errDisconnected
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(frame)
		read = append(read, string(value))
		return err
	})
	return read, err
}

func TestCutAtEachFrame(t *testing.T) {
	const tokens = 9
	whole := newTable()
	reference := open(t, whole, "r1").Buffer
	addFrames(reference, tokens)
	want, err := readUntil(t.Context(), reference, 0, 0)
	if err != nil || len(want) != tokens+2 {
		t.Fatalf("%d frames, %v", len(want), err)
	}
	for cut := 1; cut < len(want); cut++ {
		for _, live := range []bool{false, true} {
			b := open(t, newTable(), "r1").Buffer
			if live {
				go addFrames(b, tokens)
			} else {
				addFrames(b, tokens)
			}
			got, err := readUntil(t.Context(), b, 0, cut)
			if !errors.Is(err, errDisconnected) {
				t.Fatalf("cut %d: %v", cut, err)
			}
			rest, err := readUntil(t.Context(), b, uint64(cut), 0)
			if err != nil {
				t.Fatalf("cut %d: %v", cut, err)
			}
			if strings.Join(append(got, rest...), "|") != strings.Join(want, "|") {
				t.Errorf("cut %d, live %v: the frames differ", cut, live)
			}
		}
	}
}

func TestFramesAfterTheEndAndOfOthersAreDropped(t *testing.T) {
	b := open(t, newTable(), "r1").Buffer
	b.Append(&wire.Frame{RequestId: "r2", Tokens: &wire.Tokens{Text: "crossed"}})
	b.Finish(&wire.Frame{RequestId: "r2", Tail: &wire.Tail{}})
	if b.Length() != 0 || b.Ended() {
		t.Error("a frame of another request was added")
	}
	addFrames(b, 1)
	b.Append(&wire.Frame{Tokens: &wire.Tokens{Text: "late"}})
	b.Finish(&wire.Frame{Failure: &wire.Failure{}})
	if b.Length() != 3 {
		t.Errorf("%d frames, want 3", b.Length())
	}
}

func TestAbandonment(t *testing.T) {
	cases := []struct {
		name      string
		returns   time.Duration // when a reader reconnects; 0: never
		cancelled bool
	}{
		{"no reader reconnects", 0, true},
		{"a reader reconnects in time", testRetention - time.Second, false},
		{"a reader reconnects late", testRetention + time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opened := open(t, newTable(), "r1")
				opened.Buffer.Append(&wire.Frame{Head: &wire.Head{}})
				first, cut := context.WithCancel(t.Context())
				cut()
				_, _ = readUntil(first, opened.Buffer, 0, 0)
				if c.returns > 0 {
					time.Sleep(c.returns)
					again, stop := context.WithTimeout(t.Context(), time.Hour)
					defer stop()
					go func() { _, _ = readUntil(again, opened.Buffer, 1, 0) }()
				}
				time.Sleep(2 * testRetention)
				if cancelled := opened.Context.Err() != nil; cancelled != c.cancelled {
					t.Errorf("cancelled %v", cancelled)
				}
				opened.Buffer.Finish(&wire.Frame{Tail: &wire.Tail{}})
				time.Sleep(2 * testRetention)
			})
		})
	}
}

func TestRetentionAndMaxBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.maxBytes = 3000
		running := open(t, table, "running").Buffer
		for i := range 10 {
			addFrames(open(t, table, fmt.Sprint("r", i)).Buffer, 1)
		}
		known := func(id string) bool { return table.Find(Key{id, 1}) != nil }
		if known("r0") || !known("r9") || !known("running") {
			t.Error("want r0 dropped first, r9 and the running attempt retained")
		}
		if table.retainedBytes > table.maxBytes {
			t.Errorf("%d bytes retained, more than the maximum", table.retainedBytes)
		}
		time.Sleep(testRetention - time.Second)
		if !known("r9") {
			t.Error("dropped before the end of its retention")
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if known("r9") || table.retainedBytes != 0 {
			t.Errorf("retained after the retention, %d bytes", table.retainedBytes)
		}
		running.Finish(&wire.Frame{Tail: &wire.Tail{}})
		time.Sleep(2 * testRetention)
	})
}

func TestDrainWaitsForReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		b := open(t, table, "r1").Buffer
		cut, stop := context.WithCancel(t.Context())
		stop()
		_, _ = readUntil(cut, b, 0, 0)
		addFrames(b, 3)
		b.MarkReturned()
		drained := make(chan error, 1)
		go func() { drained <- table.Drain(t.Context()) }()
		synctest.Wait()
		if len(drained) != 0 {
			t.Fatal("drained although the response was not read")
		}
		if _, err := readUntil(t.Context(), b, 0, 0); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if len(drained) != 1 {
			t.Error("not drained after the response was read")
		}
		time.Sleep(2 * testRetention)
	})
}

func TestCancelBeforeArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		if table.FindOrCancel(Key{"r1", 1}) != nil {
			t.Fatal("found an attempt that never arrived")
		}
		if !open(t, table, "r1").Cancelled || open(t, table, "r2").Cancelled {
			t.Error("want only r1 marked as cancelled")
		}
		time.Sleep(2 * testRetention)
		synctest.Wait()
		if len(table.tombstones) != 0 {
			t.Error("tombstone not removed after the retention")
		}
	})
}

func TestCancelCause(t *testing.T) {
	opened := open(t, newTable(), "r1")
	opened.Buffer.Cancel(verdict.New(verdict.MayHaveRun, verdict.CodeKeyWithdrawn, "withdrawn"))
	if code := verdict.From(context.Cause(opened.Context)).Code; code != verdict.CodeKeyWithdrawn {
		t.Errorf("cause %s", code)
	}
}
