package vmlist

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Command returns the command that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "vm-list",
		Usage: "run the VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "address to listen on", Required: true},
			&cli.StringFlag{Name: "vms", Usage: "JSON file with the VMs at the start"},
			&cli.DurationFlag{Name: "lag", Usage: "time until a change made after the start is visible"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			list := New()
			if path := cmd.String("vms"); path != "" {
				if err := list.load(path); err != nil {
					return err
				}
			}
			list.SetLag(cmd.Duration("lag"))
			return web.Serve(ctx, "vm-list", cmd.String("listen"), Handler(list))
		},
	}
}

// load sets the VMs from a file in the format of the list's response.
func (l *List) load(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "VMs")
	}
	var file httpapi.VMs
	if err := web.DecodeStrict(text, &file); err != nil {
		return errors.Wrap(err, path)
	}
	for _, vm := range file.VMs {
		if err := checkVM(vm); err != nil {
			return errors.Wrap(err, path)
		}
		l.Set(vm)
	}
	return nil
}
