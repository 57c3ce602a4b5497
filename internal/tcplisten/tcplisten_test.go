package tcplisten

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// An address that a former process still holds is taken once it is free; one that stays in
// use, or can't be used, is an error.
func TestListen(t *testing.T) {
	former, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := former.Addr().String()
	time.AfterFunc(300*time.Millisecond, func() { _ = former.Close() })
	listener, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if _, err := Listen(address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("an address in use: %v", err)
	}
	begun := time.Now()
	if _, err := Listen("127.0.0.1:notaport"); err == nil || time.Since(begun) > patience/2 {
		t.Errorf("an unusable address: %v after %v", err, time.Since(begun))
	}
}
