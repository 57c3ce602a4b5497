package certs

import (
	"context"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// Names of the files that Write creates.
const (
	FileCA        = "ca.pem"
	FileCAKey     = "ca-key.pem"
	FileDaemon    = "daemon.pem"
	FileDaemonKey = "daemon-key.pem"
	FileCaller    = "caller.pem"
	FileCallerKey = "caller-key.pem"
)

const (
	dirMode = 0o755
	keyMode = 0o600 // of the files with private keys
)

// Write creates new certificates in dir: one for the daemons and one to present
// to callers. It uses the authority in dir, or creates one if there is none.
func Write(dir string, hosts []string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "directory")
	}
	authority, err := openAuthority(dir)
	if err != nil {
		return err
	}
	daemon, err := authority.Issue("daemon", hosts)
	if err != nil {
		return err
	}
	if err := WritePair(dir, FileDaemon, FileDaemonKey, daemon); err != nil {
		return err
	}
	caller, err := authority.Issue("caller", hosts)
	if err != nil {
		return err
	}
	return WritePair(dir, FileCaller, FileCallerKey, caller)
}

// openAuthority reads the authority in dir, or creates one.
func openAuthority(dir string) (*Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(dir, FileCA))
	if errors.Is(err, os.ErrNotExist) {
		return createAuthority(dir)
	}
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	key, err := os.ReadFile(filepath.Join(dir, FileCAKey))
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return ParseAuthority(Pair{Certificate: certificate, Key: key})
}

func createAuthority(dir string) (*Authority, error) {
	authority, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	return authority, WritePair(dir, FileCA, FileCAKey, authority.Pair)
}

// WritePair replaces the two files of a pair. Each is replaced atomically: a
// reader finds either the old or the new file.
func WritePair(dir, certificate, key string, pair Pair) error {
	if err := replace(filepath.Join(dir, key), pair.Key); err != nil {
		return err
	}
	return replace(filepath.Join(dir, certificate), pair.Certificate)
}

func replace(path string, text []byte) error {
	next := path + ".new"
	if err := os.WriteFile(next, text, keyMode); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(os.Rename(next, path), "write")
}

// Command returns the command that writes certificates for a demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "certs",
		Usage: "write a test authority and certificates; a further run renews the certificates",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "directory of the files", Required: true},
			&cli.StringSliceFlag{
				Name:  "host",
				Usage: "name or IP address that the certificates are valid for",
				Value: []string{"127.0.0.1", "::1", "localhost"},
			},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			dir := cmd.String("dir")
			if err := Write(dir, cmd.StringSlice("host")); err != nil {
				return err
			}
			logging.For("certs").Info(logging.Fields{"dir": dir}, "certificates written")
			return nil
		},
	}
}
