package client

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A VM list with entries that describe no VM names the others.
func TestOddVMs(t *testing.T) {
	const good = `{"name":"a","address":"127.0.0.1:1","group":"engines","state":"live"}`
	for _, odd := range []string{
		`{"name":7,"address":"127.0.0.1:2","group":"engines","state":"live"}`, `[]`, `null`, `"b"`, `1e400`,
		`{"name":"b","address":"127.0.0.1:65536","group":"engines","state":"live"}`, `{"name":"b","address":"127.0.0.1:0","group":"engines","state":"live"}`,
		`{"name":"b","address":"127.0.0.1","group":"engines","state":"live"}`, `{"name":"b","address":"127.0.0.1:2","group":"engines","state":"asleep"}`,
		`{"name":"","address":"127.0.0.1:2","group":"engines","state":"live"}`, `{"name":"b","address":"127.0.0.1:2","group":"","state":"live"}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"vms":[` + odd + `,` + good + `]}`))
		}))
		vms, err := NewVMList(server.URL, time.Second).VMs(t.Context())
		if err != nil || len(vms) != 1 || vms[0] != testVM {
			t.Errorf("beside %s: %v, %v", odd, vms, err)
		}
		server.Close()
	}
}
