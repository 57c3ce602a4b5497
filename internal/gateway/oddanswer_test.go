package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// oddAnswers are answers that servers must not give, each with the method of its request and
// what the client may get: "" stands for 502, else it is the body of an answer that counts. %s
// is the header with the id.
var oddAnswers = []struct{ name, method, answer, body string }{
	{"unsigned", "POST", "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nodd", ""},
	{"unsigned, no content", "POST", "HTTP/1.1 204 No Content\r\n%s\r\n", ""},
	{"two answers", "POST", "HTTP/1.1 200 OK\r\n%[1]sSigned: 1\r\nContent-Length: 3\r\n\r\noddHTTP/1.1 200 OK\r\n%[1]sSigned: 1\r\nContent-Length: 5\r\n\r\nother", "odd"},
	{"longer than its length", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 3\r\n\r\nodd and more", "odd"},
	{"two lengths", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nodd..", ""},
	{"negative length", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: -3\r\n\r\nodd", ""},
	{"length with a sign", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: +3\r\n\r\nodd", ""},
	{"length above 64 bits", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 18446744073709551619\r\n\r\nodd", ""},
	{"negative chunk", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nodd\r\n0\r\n\r\n", ""},
	{"unknown coding", "POST", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nTransfer-Encoding: gzip\r\n\r\nodd", ""},
	{"body after 204", "POST", "HTTP/1.1 204 No Content\r\n%sSigned: 1\r\nContent-Length: 3\r\n\r\nodd", "none"},
	{"body after 304", "POST", "HTTP/1.1 304 Not Modified\r\n%sSigned: 1\r\nContent-Length: 3\r\n\r\nodd", "none"},
	{"answer as a body after 204", "POST", "HTTP/1.1 204 No Content\r\n%[1]sSigned: 1\r\n\r\nHTTP/1.1 200 OK\r\n%[1]sSigned: 1\r\nContent-Length: 3\r\n\r\nodd", "none"},
	{"body after HEAD", "HEAD", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 3\r\n\r\nodd", "none"},
	{"endless body after HEAD", "HEAD", "HTTP/1.1 200 OK\r\n%sSigned: 1\r\n\r\nodd", "none"},
}

// An odd answer counts only for its own request, which is sent once, and the request after it
// gets its own answer or 502.
func TestOddAnswers(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int)
	address := rawServer(t, func(_ int, conn net.Conn, r *http.Request) {
		id := r.Header.Get("Request")
		mu.Lock()
		runs[id]++
		mu.Unlock()
		answer := "HTTP/1.1 200 OK\r\n%sSigned: 1\r\nContent-Length: 3\r\n\r\nown"
		if kind, found := strings.CutPrefix(r.URL.Path, "/x/odd-"); found {
			var n int
			_, _ = fmt.Sscan(kind, &n)
			answer = oddAnswers[n].answer
		}
		_, _ = fmt.Fprintf(conn, answer, "Request: "+id+"\r\n")
	})
	s := startSystem(t)
	s.store.set(testConfig(1, deployment.AtMostOnce), serverAt("a", address), serverAt("b", address))
	s.waitReady(t)
	send := func(method, path, id string) (int, string) {
		request, _ := http.NewRequestWithContext(t.Context(), method, "http://"+s.settings.Gateway.HTTPAddress+path, strings.NewReader("order"))
		request.Host = "api.example"
		request.Header.Set("Request", id)
		request.Header.Set("Key", "good")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		mu.Lock()
		defer mu.Unlock()
		// A request that finds the rest of an odd answer on its connection ends with 502, also before
		// the server has read it.
		notRead := runs[id] == 0 && response.StatusCode == http.StatusBadGateway
		if err != nil || runs[id] != 1 && !notRead || response.Header.Get("Request") != id {
			t.Errorf("%s: %d runs, answer of %s, %v", id, runs[id], response.Header.Get("Request"), err)
		}
		return response.StatusCode, string(body)
	}
	for n, odd := range oddAnswers {
		for round := range 5 {
			status, body := send(odd.method, fmt.Sprint("/x/odd-", n), fmt.Sprintf("odd-%d-%d", n, round))
			switch {
			case odd.body == "" && status != http.StatusBadGateway,
				odd.body == "none" && (status >= 400 || body != ""),
				odd.body == "odd" && (status != http.StatusOK || body != "odd"):
				t.Errorf("%s: client got %d with %q", odd.name, status, body)
			}
			if status, body := send("POST", "/x/next", fmt.Sprintf("next-%d-%d", n, round)); status != http.StatusBadGateway && (status != http.StatusOK || body != "own") {
				t.Errorf("after %s: client got %d with %q", odd.name, status, body)
			}
		}
	}
}
