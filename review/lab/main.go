// Command lab plays one case of the review: it starts gateways as processes, and stand-ins of
// the platform's store, of servers and of consumers, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	record  *os.File
	began   = time.Now()
	noteMu  sync.Mutex
	endMu   sync.Mutex
	atEnd   []func()
	trouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line into the record, with the seconds since the start.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	record.WriteString(line)
}

func onExit(f func()) {
	endMu.Lock()
	defer endMu.Unlock()
	atEnd = append(atEnd, f)
}

func exit(code int) {
	endMu.Lock() // for good: nothing is started any more
	for _, f := range atEnd {
		f()
	}
	os.Exit(code)
}

func broken(format string, args ...any) {
	note("BROKEN: "+format, args...)
	fmt.Printf("broken: "+format+"\n", args...)
	exit(1)
}

func held(format string, args ...any) {
	note("HELD: "+format, args...)
	fmt.Printf("held: "+format+"\n", args...)
	exit(0)
}

func cannotRun(format string, args ...any) {
	note("CAN'T RUN: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	exit(2)
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

var cases = map[string]func(dir string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "wasabigate-review-")
	check(err)
	if os.Getenv("KEEP") == "" {
		onExit(func() { os.RemoveAll(dir) })
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; cannotRun("stopped") }()
	time.AfterFunc(115*time.Second, func() { cannotRun("out of time") })
	note("case %s, trouble: %v", os.Args[1], trouble)
	cases[os.Args[1]](dir)
}
