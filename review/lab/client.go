package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a consumer's request on a channel of its own.
type request struct {
	id, method, host, path, key string
	deadline                    time.Duration
	header                      map[string]string
	body                        []byte
	pause                       time.Duration // between the two halves of the body
}

// answer is what the consumer got.
type answer struct {
	status int // 0: the channel was closed, or the deadline passed, without a status line
	whole  bool
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	text := fmt.Sprintf("%d after %d ms", a.status, a.took.Milliseconds())
	if !a.whole {
		text += fmt.Sprintf(", cut off: %v", a.err)
	}
	if a.status >= 400 {
		text += " " + a.body
	}
	return text
}

// send sends a request to a gateway and waits for the whole answer, until the deadline.
func send(front string, r *request) answer {
	start := time.Now()
	fail := func(err error) answer { return answer{err: err, took: time.Since(start)} }
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	conn.SetDeadline(start.Add(r.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds(), r.key)
	for name, value := range r.header {
		head += name + ": " + value + "\r\n"
	}
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	half := len(r.body) / 2
	if r.pause == 0 {
		half = len(r.body)
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), r.body[:half]...)); err != nil {
		return fail(err)
	}
	if half < len(r.body) {
		time.Sleep(r.pause)
		if _, err := conn.Write(r.body[half:]); err != nil {
			return fail(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, whole: err == nil, body: string(body), err: err, took: time.Since(start)}
}
