package backend

import (
	"context"
	"net"
	"testing"
	"time"
)

func TestProcessEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if ProcessEnded(context.Background(), address) {
		t.Error("a listening process counts as ended")
	}
	time.AfterFunc(recheckDelay/2, func() { _ = listener.Close() })
	if !ProcessEnded(context.Background(), address) {
		t.Error("a process whose listener closes a moment later does not count as ended")
	}
	if !ProcessEnded(context.Background(), address) {
		t.Error("an address without a process does not count as ended")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if ProcessEnded(ctx, address) {
		t.Error("a check that was cancelled says that the process ended")
	}
}
