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
		fmt.Fprintln(os.Stderr, errorLine(e))
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
	c.SetFlagErrorFunc(usageError)
	c.AddCommand(newDev(), newServe(), newHost(), newExplain(), newCheck(), newConfig(), newTemplate(), newTeam(), newHosts(), newStatus(),
		newDecisions(), newStop(), newLogLevel(), newAsk(), newStandin(), newBench())
	c.InitDefaultHelpCmd()
	c.InitDefaultCompletionCmd()
	reportUsageErrors(c)
	return c
}
