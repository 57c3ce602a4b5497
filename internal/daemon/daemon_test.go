package daemon

import "testing"

// An empty address would otherwise mean a free port on all interfaces.
func TestNoHTTPAddressMeansNoListener(t *testing.T) {
	listener, err := listenHTTP("")
	if err != nil || listener != nil {
		t.Errorf("listener %v, error %v", listener, err)
	}
	if _, err := listenHTTP("127.0.0.1:no-port"); err == nil {
		t.Error("a bad address gives no error")
	}
}
