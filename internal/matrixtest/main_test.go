package matrixtest

import (
	"flag"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// parallelCells is the number of cells that run at once. They mostly wait, so it
// may exceed the number of CPUs.
const parallelCells = "24"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := setUp(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

func setUp() error {
	if err := logging.Setup(io.Discard, "error", "text"); err != nil {
		return err
	}
	return flag.Set("test.parallel", parallelCells)
}
