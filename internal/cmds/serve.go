package cmds

import (
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/daemon"
	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Runs the daemon of an entry host",
		Long: "Runs the daemon of an entry host until SIGTERM or SIGINT, which start a graceful stop. " +
			"The exit code is 0 only if no request was cut off.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, problems := setup.Read(file)
			if err := setup.AsError(problems); err != nil {
				return err
			}
			logs := telem.NewLogs(os.Stderr, s.Host.Name)
			if err := logs.SetLevel(s.Telemetry.LogLevel); err != nil {
				return err
			}
			d, err := daemon.New(s, logs)
			if err != nil {
				return listenError(s, err)
			}
			d.SetCollectorLimit()
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer cancel()
			return listenError(s, d.Run(ctx))
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings `file` (TOML)")
	_ = c.MarkFlagRequired("config") // fails only for an unknown flag
	return c
}

// listenError adds the key of the setting to an error from listening on an address, such as one that is already in use.
func listenError(s setup.Settings, err error) error {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "listen" || op.Addr == nil {
		return err
	}
	for _, l := range []struct {
		key     string
		address setup.Address
	}{{"listen.traffic", s.Listen.Traffic}, {"listen.peers", s.Listen.Peers}, {"listen.operator", s.Listen.Operator}} {
		a, resolveErr := net.ResolveTCPAddr("tcp", l.address.String()) // no name resolution: the address is an IP number and a port
		if resolveErr == nil && a.String() == op.Addr.String() {
			return codes.New(codes.BadSettings, op.Error()).WithField(l.key)
		}
	}
	return err
}
