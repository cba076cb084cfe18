package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/daemon"
	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/internal/telem"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Runs the daemon of an entry host",
		Long: "Runs the daemon of an entry host until SIGTERM or SIGINT, which begin a graceful stop. " +
			"The exit code is 0 only if no request was cut off.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, faults := setup.Read(file)
			if err := setup.AsError(faults); err != nil {
				return err
			}
			logs := telem.NewLogs(os.Stderr, s.Host.Name)
			if err := logs.SetLevel(s.Telemetry.LogLevel); err != nil {
				return err
			}
			d, err := daemon.New(s, logs)
			if err != nil {
				return err
			}
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer cancel()
			return d.Run(ctx)
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings `file` (TOML)")
	_ = c.MarkFlagRequired("config") // fails only for an unknown flag
	return c
}
