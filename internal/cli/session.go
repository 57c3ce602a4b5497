package cli

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/tlsconf"
)

// Names of the global flags.
const (
	flagOutput      = "output"
	flagKeyValue    = "key-value"
	flagVMList      = "vm-list"
	flagEnvironment = "environment"
	flagPeer        = "peer"
	flagTimeout     = "timeout"
	flagCallTimeout = "call-timeout"
	flagAuthor      = "author"
	flagCA          = "tls-ca"
	flagCertificate = "tls-certificate"
	flagKey         = "tls-key"
	flagPlaintext   = "plaintext"
)

const (
	defaultTimeout     = 15 * time.Second
	defaultCallTimeout = 2 * time.Second
)

// The flags read the same environment variables as the daemon's settings.
func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT` of the output: text or json", Validator: checkOutput},
		&cli.StringFlag{Name: flagKeyValue, Usage: "base `URL` of the key-value service", Sources: cli.EnvVars("WASABIGATE_PLATFORM_KEY_VALUE")},
		&cli.StringFlag{Name: flagVMList, Usage: "base `URL` of the VM list", Sources: cli.EnvVars("WASABIGATE_PLATFORM_VM_LIST")},
		&cli.StringFlag{Name: flagEnvironment, Aliases: []string{"e"}, Usage: "`NAME` of the environment", Sources: cli.EnvVars("WASABIGATE_DAEMON_ENVIRONMENT")},
		&cli.StringSliceFlag{Name: flagPeer, Usage: "rpc `ADDRESS` of a daemon, besides those of the VM list; repeatable", Sources: cli.EnvVars("WASABIGATE_DAEMON_PEERS")},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "longest `TIME` of the command"},
		&cli.DurationFlag{Name: flagCallTimeout, Value: defaultCallTimeout, Usage: "longest `TIME` of one call to the platform or a daemon"},
		&cli.StringFlag{Name: flagAuthor, Value: os.Getenv("USER"), Usage: "`NAME` recorded with a change", HideDefault: true},
		&cli.StringFlag{Name: flagCA, Usage: "`FILE` with the certificate authority of the daemons", Sources: cli.EnvVars("WASABIGATE_TLS_CA")},
		&cli.StringFlag{Name: flagCertificate, Usage: "`FILE` with the operator's certificate", Sources: cli.EnvVars("WASABIGATE_TLS_CERTIFICATE")},
		&cli.StringFlag{Name: flagKey, Usage: "`FILE` with the operator's private key", Sources: cli.EnvVars("WASABIGATE_TLS_KEY")},
		&cli.BoolFlag{Name: flagPlaintext, Usage: "allow connections to daemons without TLS", Sources: cli.EnvVars("WASABIGATE_TLS_PLAINTEXT")},
	}
}

// session gives a command access to the platform and the daemons.
type session struct {
	command *cli.Command
}

// action returns an ActionFunc that calls run with a session and the time limit
// of --timeout.
func action(run func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
		defer cancel()
		return run(ctx, &session{command: command})
	}
}

// requiredFlag returns the value of a flag that must be set.
func (s *session) requiredFlag(flag string) (string, error) {
	value := s.command.String(flag)
	if value == "" {
		return "", usageError(s.command, "--%s is needed", flag)
	}
	return value, nil
}

func (s *session) callTimeout() time.Duration { return s.command.Duration(flagCallTimeout) }

func (s *session) author() string { return s.command.String(flagAuthor) }

// store returns the configuration store of the environment given by --environment.
func (s *session) store() (*configstore.Store, error) {
	environment, err := s.requiredFlag(flagEnvironment)
	if err != nil {
		return nil, err
	}
	return s.storeOf(environment, "")
}

// storeOf returns the configuration store of an environment in the key-value
// service at url, or in that of --key-value if url is empty.
func (s *session) storeOf(environment, url string) (*configstore.Store, error) {
	if url == "" {
		var err error
		url, err = s.requiredFlag(flagKeyValue)
		if err != nil {
			return nil, err
		}
	}
	return configstore.New(client.NewKV(url, s.callTimeout()), environment), nil
}

// dialer returns a dialer for connections to daemons.
func (s *session) dialer() (*rpc.Dialer, error) {
	files, err := tlsconf.Load(config.TLSSettings{
		Plaintext:   s.command.Bool(flagPlaintext),
		CA:          s.command.String(flagCA),
		Certificate: s.command.String(flagCertificate),
		Key:         s.command.String(flagKey),
	})
	if errors.Is(err, tlsconf.ErrSettings) {
		return nil, usageError(s.command, "give --%s, --%s and --%s, or --%s", flagCA, flagCertificate, flagKey, flagPlaintext)
	}
	if err != nil {
		return nil, err
	}
	return rpc.NewDialer(files.Client()), nil
}

// hasDaemonFlags reports whether --vm-list or --peer is given.
func (s *session) hasDaemonFlags() bool {
	return s.command.String(flagVMList) != "" || len(s.command.StringSlice(flagPeer)) > 0
}

// listDaemons returns the daemons of the VM list at url and of --peer. If the
// list can't be read, it returns those of --peer and the error.
func (s *session) listDaemons(ctx context.Context, url string) ([]platform.VM, error) {
	vms, err := s.peers()
	if err != nil || url == "" {
		return vms, err
	}
	fromList, err := client.NewVMList(url, s.callTimeout()).VMs(ctx)
	known := make(map[string]struct{})
	for _, vm := range fromList {
		known[vm.Address] = struct{}{}
	}
	for _, peer := range vms {
		if _, found := known[peer.Address]; !found {
			fromList = append(fromList, peer)
		}
	}
	return fromList, errors.Wrap(err, "read the VM list")
}

func (s *session) peers() ([]platform.VM, error) {
	var vms []platform.VM
	for _, address := range s.command.StringSlice(flagPeer) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageError(s.command, "--%s %q is not an IP address with a port", flagPeer, address)
		}
		vms = append(vms, platform.VM{Address: address, State: platform.VMLive})
	}
	return vms, nil
}
