package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/version"
)

// versionInfo is the result of version.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (v *versionInfo) writeText(w io.Writer) {
	fmt.Fprintf(w, "wasabigate %s, %s\n", v.Version, v.Go)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this tool",
		Action: action(func(_ context.Context, s *session) error {
			return s.print(&versionInfo{version.Version, runtime.Version()})
		}),
	}
}
