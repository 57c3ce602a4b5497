package daemon

import "testing"

// Passing an empty address to net.Listen would open a free port on all interfaces.
func TestNoHTTPAddressMeansNoListener(t *testing.T) {
	listener, err := listenHTTP("")
	if err != nil || listener != nil {
		t.Errorf("listener %v, error %v", listener, err)
	}
	if _, err := listenHTTP("127.0.0.1:no-port"); err == nil {
		t.Error("no error for an invalid address")
	}
}
