// Package gotest runs "go test" and collects the results of top-level tests.
package gotest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"github.com/pkg/errors"
)

const modulePath = "github.com/wasabigate/wasabigate/"

// Name is a test's name, package.Test, without the module path; or the package alone
// if it failed without naming a test.
type Name string

// Results are the results of a test run.
type Results struct {
	Passed         []Name
	Skipped        []Name
	Failed         []Name
	output         map[Name]*strings.Builder
	failedPackages map[string]bool // packages with a failed test
}

// event is a line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Run runs "go test" with the arguments. It calls progress, which may be nil, for
// each package that passed. An error means that the tests could not be run.
func Run(args []string, progress func(pkg string)) (*Results, error) {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "go test")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "go test")
	}
	results := &Results{output: make(map[Name]*strings.Builder), failedPackages: make(map[string]bool)}
	if err := results.read(stdout, progress); err != nil {
		return nil, err
	}
	var exit *exec.ExitError
	if err := command.Wait(); err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "go test")
	}
	if exit != nil && len(results.Failed) == 0 {
		return nil, errors.New("go test failed without naming a test")
	}
	return results, nil
}

// Output returns what a failed test printed.
func (r *Results) Output(name Name) string {
	if output := r.output[name]; output != nil {
		return output.String()
	}
	return ""
}

func (r *Results) read(stdout io.Reader, progress func(pkg string)) error {
	decoder := json.NewDecoder(stdout)
	for {
		var e event
		err := decoder.Decode(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "output of go test")
		}
		r.add(e, progress)
	}
}

func (r *Results) add(e event, progress func(pkg string)) {
	pkg := strings.TrimPrefix(e.Package, modulePath)
	test, _, nested := strings.Cut(e.Test, "/")
	name := Name(pkg)
	if test != "" {
		name = Name(pkg + "." + test)
	}
	switch {
	case e.Action == "output" || e.Action == "build-output":
		r.appendOutput(name, e.Output)
	case nested:
	case test == "":
		r.endPackage(pkg, e.Action, progress)
	case e.Action == "pass":
		r.Passed = append(r.Passed, name)
		delete(r.output, name)
	case e.Action == "skip":
		r.Skipped = append(r.Skipped, name)
	case e.Action == "fail":
		r.Failed = append(r.Failed, name)
		r.failedPackages[pkg] = true
	}
}

func (r *Results) appendOutput(name Name, output string) {
	if r.output[name] == nil {
		r.output[name] = &strings.Builder{}
	}
	r.output[name].WriteString(output)
}

func (r *Results) endPackage(pkg, action string, progress func(pkg string)) {
	if action == "pass" && progress != nil {
		progress(pkg)
	}
	if action == "fail" && !r.failedPackages[pkg] {
		r.Failed = append(r.Failed, Name(pkg))
		r.addUnfinishedOutput(pkg)
	}
}

// addUnfinishedOutput adds the output of a package's unfinished tests to the output of
// the package. If a test binary crashes or hangs, none of them is named as failed.
func (r *Results) addUnfinishedOutput(pkg string) {
	for name, output := range r.output {
		if strings.HasPrefix(string(name), pkg+".") {
			r.appendOutput(Name(pkg), fmt.Sprintf("unfinished: %s\n%s", name, output.String()))
		}
	}
}

// ReadKnown reads a list of known failures. Each line starts with package.Test.
func ReadKnown(path string) (map[Name]bool, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "list of known failures")
	}
	defer file.Close()
	known := make(map[Name]bool)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		known[Name(strings.TrimSpace(name))] = true
	}
	return known, errors.Wrap(scanner.Err(), "list of known failures")
}
