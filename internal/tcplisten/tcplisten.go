// Package tcplisten opens listeners for processes that are restarted at the same address.
package tcplisten

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// patience is how long an address may be in use: a former process that was killed may
	// hold it until the system has taken it down.
	patience = 2 * time.Second
	// retryInterval is the time between two attempts.
	retryInterval = 50 * time.Millisecond
)

// Listen opens a TCP listener. It returns the last error if the address stays in use.
func Listen(address string) (net.Listener, error) {
	for deadline := time.Now().Add(patience); ; time.Sleep(retryInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}
