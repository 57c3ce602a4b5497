// Redtest runs "go test" and passes over the failures that a list names.
//
// Usage: redtest -known FILE -- GO-TEST-ARGUMENTS
//
// A line of the list starts with package.Test, where the package is given
// without the module's path. Every other failure makes the run fail.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"github.com/pkg/errors"
)

const modulePath = "github.com/wasabigate/wasabigate/"

// testEvent is a line of "go test -json".
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// summary counts the results of top-level tests and failed packages.
type summary struct {
	passed  int
	skipped []string
	failed  []string // package.Test, or package when no test of it failed
	known   []string
	output  map[string]*strings.Builder // by package.Test
	byPkg   map[string]bool             // packages with a failed test
}

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	known, err := readKnown(*knownFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(2)
	}
	result, err := run(flag.Args(), known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(1)
	}
	result.print(os.Stdout)
	if len(result.failed) > 0 || result.passed == 0 {
		os.Exit(1)
	}
}

func readKnown(path string) (map[string]bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "list of known failures")
	}
	defer file.Close()
	known := make(map[string]bool)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		known[strings.TrimSpace(name)] = true
	}
	return known, errors.Wrap(scanner.Err(), "list of known failures")
}

func run(args []string, known map[string]bool) (*summary, error) {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "go test")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "go test")
	}
	result := &summary{output: make(map[string]*strings.Builder), byPkg: make(map[string]bool)}
	if err := result.read(stdout, known); err != nil {
		return nil, err
	}
	var exit *exec.ExitError
	if err := command.Wait(); err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "go test")
	}
	if exit != nil && len(result.failed) == 0 && len(result.known) == 0 {
		return nil, errors.New("go test failed without naming a test")
	}
	return result, nil
}

func (s *summary) read(r io.Reader, known map[string]bool) error {
	decoder := json.NewDecoder(r)
	for {
		var event testEvent
		err := decoder.Decode(&event)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "output of go test")
		}
		s.add(event, known)
	}
}

func (s *summary) add(event testEvent, known map[string]bool) {
	pkg := strings.TrimPrefix(event.Package, modulePath)
	top, _, nested := strings.Cut(event.Test, "/")
	name := pkg
	if top != "" {
		name = pkg + "." + top
	}
	switch event.Action {
	case "output", "build-output":
		if s.output[name] == nil {
			s.output[name] = &strings.Builder{}
		}
		s.output[name].WriteString(event.Output)
	case "pass":
		s.pass(name, top, nested)
	case "skip":
		if top != "" && !nested {
			s.skipped = append(s.skipped, name)
		}
	case "fail":
		s.fail(name, pkg, top, nested, known)
	}
}

func (s *summary) pass(name, top string, nested bool) {
	if nested {
		return
	}
	if top == "" {
		fmt.Println("ok  ", name)
		return
	}
	s.passed++
	delete(s.output, name)
}

func (s *summary) fail(name, pkg, top string, nested bool, known map[string]bool) {
	if nested {
		return
	}
	if top == "" {
		if s.byPkg[pkg] {
			return
		}
		s.failed = append(s.failed, name)
		return
	}
	s.byPkg[pkg] = true
	if known[name] {
		s.known = append(s.known, name)
		return
	}
	s.failed = append(s.failed, name)
}

func (s *summary) print(w io.Writer) {
	for _, name := range s.failed {
		fmt.Fprintln(w, "FAIL", name)
		if output := s.output[name]; output != nil {
			fmt.Fprintln(w, output.String())
		}
	}
	for _, name := range s.skipped {
		fmt.Fprintln(w, "SKIP", name)
	}
	for _, name := range s.known {
		fmt.Fprintln(w, "KNOWN-RED", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.passed, len(s.failed)+len(s.known), len(s.skipped))
}
