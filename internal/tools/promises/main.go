// Promises runs the tests that docs/PROMISES.md names for each promise and
// prints one line for each promise: its number, pass, FAIL or unproved, and the
// tests.
//
// Usage: promises [-page FILE] [-known FILE]
//
// A promise is unproved while its row has an entry in the column of open points.
// The exit status is 1 if a test failed that is not in the list of known failures,
// or if a named test does not exist.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/tools/gotest"
)

// Columns of the page's table.
const (
	columnID = iota
	columnPromise
	columnMechanism
	columnTests
	columnFaults
	columnOpen
	columnCount
)

// nothingOpen is the entry of a promise without open points.
const nothingOpen = "-"

var (
	idPattern   = regexp.MustCompile(`^P\d\d$`)
	testPattern = regexp.MustCompile("`([a-z/]+)\\.(Test\\w+|Fuzz\\w+)`")
)

// promise is a row of the page.
type promise struct {
	id    string
	tests []gotest.Name
	open  bool
}

func main() {
	page := flag.String("page", "docs/PROMISES.md", "page with the table of promises")
	known := flag.String("known", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	passed, err := run(*page, *known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "promises:", err)
		os.Exit(2)
	}
	if !passed {
		os.Exit(1)
	}
}

func run(page, knownFile string) (bool, error) {
	promises, err := readPage(page)
	if err != nil {
		return false, err
	}
	known, err := gotest.ReadKnown(knownFile)
	if err != nil {
		return false, err
	}
	results, err := gotest.Run(testArguments(promises), nil)
	if err != nil {
		return false, err
	}
	passed := true
	for _, p := range promises {
		if !report(p, results, known) {
			passed = false
		}
	}
	return passed, nil
}

func readPage(path string) ([]promise, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "page of promises")
	}
	defer file.Close()
	var promises []promise
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		cells := strings.Split(strings.Trim(scanner.Text(), "| "), "|")
		if !idPattern.MatchString(strings.TrimSpace(cells[columnID])) {
			continue
		}
		if len(cells) != columnCount {
			return nil, errors.Errorf("row %s has %d cells, want %d", cells[columnID], len(cells), columnCount)
		}
		promises = append(promises, readRow(cells))
	}
	return promises, errors.Wrap(scanner.Err(), "page of promises")
}

func readRow(cells []string) promise {
	p := promise{
		id:   strings.TrimSpace(cells[columnID]),
		open: strings.TrimSpace(cells[columnOpen]) != nothingOpen,
	}
	for _, match := range testPattern.FindAllStringSubmatch(cells[columnTests], -1) {
		p.tests = append(p.tests, gotest.Name("internal/"+match[1]+"."+match[2]))
	}
	return p
}

// testArguments returns the arguments of "go test" that run the named tests.
func testArguments(promises []promise) []string {
	var packages, tests []string
	for _, p := range promises {
		for _, name := range p.tests {
			pkg, test, _ := strings.Cut(string(name), ".")
			packages = append(packages, "./"+pkg)
			tests = append(tests, test)
		}
	}
	slices.Sort(packages)
	slices.Sort(tests)
	pattern := "^(" + strings.Join(slices.Compact(tests), "|") + ")$"
	return append([]string{"-race", "-timeout", "15m", "-run", pattern}, slices.Compact(packages)...)
}

// report prints a promise's line and reports whether its tests passed, but for known
// failures.
func report(p promise, results *gotest.Results, known map[gotest.Name]bool) bool {
	failed, unexpected := false, false
	for _, name := range p.tests {
		if slices.Contains(results.Passed, name) {
			continue
		}
		failed = true
		if !known[name] {
			unexpected = true
			fmt.Printf("%s: %s did not pass\n%s\n", p.id, name, results.Output(name))
		}
	}
	fmt.Println(p.id, status(p, failed), names(p.tests))
	return !unexpected
}

func status(p promise, failed bool) string {
	switch {
	case failed:
		return "FAIL"
	case p.open || len(p.tests) == 0:
		return "unproved"
	default:
		return "pass"
	}
}

func names(tests []gotest.Name) string {
	texts := make([]string, len(tests))
	for i, name := range tests {
		texts[i] = strings.TrimPrefix(string(name), "internal/")
	}
	return strings.Join(texts, " ")
}
