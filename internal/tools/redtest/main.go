// Redtest runs "go test" and tolerates the failures in a list of known ones.
//
// Usage: redtest -known FILE -- GO-TEST-ARGUMENTS
//
// A line of the list starts with package.Test, where the package is given
// without the module path. Any other failure makes the run fail.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/wasabigate/wasabigate/internal/tools/gotest"
)

func main() {
	knownFile := flag.String("known", "KNOWN-RED.txt", "list of known failures")
	flag.Parse()
	passed, err := run(*knownFile, flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "redtest:", err)
		os.Exit(2)
	}
	if !passed {
		os.Exit(1)
	}
}

func run(knownFile string, args []string) (passed bool, err error) {
	known, err := gotest.ReadKnown(knownFile)
	if err != nil {
		return false, err
	}
	results, err := gotest.Run(args, func(pkg string) { fmt.Println("ok  ", pkg) })
	if err != nil {
		return false, err
	}
	unknownCount := printFailures(results, known)
	for _, name := range results.Skipped {
		fmt.Println("SKIP", name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", len(results.Passed), len(results.Failed), len(results.Skipped))
	return unknownCount == 0 && len(results.Passed) > 0, nil
}

// printFailures prints the failures and returns the number of unknown ones.
func printFailures(results *gotest.Results, known map[gotest.Name]bool) int {
	unknownCount := 0
	for _, name := range results.Failed {
		if known[name] {
			fmt.Println("KNOWN-RED", name)
			continue
		}
		unknownCount++
		fmt.Printf("FAIL %s\n%s\n", name, results.Output(name))
	}
	return unknownCount
}
