package systemtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// daemonPath is the path of the daemon's binary, built once for all tests.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "wasabigated")
	build := exec.Command("go", "build", "-o", daemonPath, "../../cmd/wasabigated")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}
