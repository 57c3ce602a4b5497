package limit

import (
	"io"
	"os"
	"testing"

	"github.com/wasabigate/wasabigate/internal/logging"
)

func TestMain(m *testing.M) {
	if err := logging.Setup(io.Discard, "error", logging.FormatText); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
