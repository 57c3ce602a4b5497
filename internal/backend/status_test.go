package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// A status that no final response has is a failure whose request may have run. Its connection
// is not used again.
func TestImpossibleStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "099": false, "+99": false, "101": false, "600": false, "999": false,
		"200": true, "299": true, "302": true, "499": true, "599": true,
	} {
		t.Run(status, func(t *testing.T) {
			conns := make(map[net.Conn]bool)
			address, _ := rawServer(t, func(n int64, conn net.Conn, _ *bufio.Reader) {
				conns[conn] = true
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nRequest: r%d\r\nContent-Length: 0\r\n\r\n", status, n)
			})
			client := NewClient(testCodec{})
			for n := range 2 {
				call := callTo(address, http.MethodPost, "x")
				call.RequestID = fmt.Sprint("r", n+1)
				response, err := client.Do(t.Context(), call)
				if err == nil {
					_, err = ReadBody(response, nil)
				}
				if failure := verdict.From(err); valid != (err == nil) || failure != nil && (failure.Verdict != verdict.MayHaveRun || failure.Status() != http.StatusBadGateway) {
					t.Errorf("got %v, want valid %v", err, valid)
				}
			}
			if !valid && len(conns) != 2 {
				t.Errorf("%d connections for two requests", len(conns))
			}
		})
	}
}

// A status that a fixed number of informational responses precede is the final one.
func TestInformationalResponses(t *testing.T) {
	address, _ := rawServer(t, func(_ int64, conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 201 Created\r\nRequest: r1\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := NewClient(testCodec{}).Do(t.Context(), callTo(address, http.MethodPost, "x"))
	if err != nil || response.Status != http.StatusCreated {
		t.Fatalf("got %+v, %v", response, err)
	}
	closeBody(response.Body)
}
