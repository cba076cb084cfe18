package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	c := newRoot()
	c.SetArgs(args)
	c.SetContext(context.Background())
	if err := c.Execute(); err != nil {
		e := codes.From(err)
		fmt.Fprintf(os.Stderr, "fireflycleat: error %d: %v\n", e.Code(), e)
		return e.Code().ExitCode()
	}
	return 0
}

func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "fireflycleat",
		Short:         "Serves rarely used models",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return codes.New(codes.BadArgument, err.Error())
	})
	c.AddCommand(newDev(), newServe(), newConfig(), newTemplate(), newTeam(), newHosts(), newStatus(), newDecisions(), newStop(), newLogLevel(),
		newAsk(), newStandin(), newBench())
	return c
}
