package cmds

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// errorLine formats the error of a command, with the retry time if it has one.
func errorLine(e *codes.Error) string {
	text := fmt.Sprintf("fireflycleat: error %d: %v", e.Code(), e)
	if wait := e.RetryAfter(); wait > 0 {
		text += fmt.Sprintf("; retry after %s", max(wait.Round(100*time.Millisecond), 100*time.Millisecond))
	}
	return text
}

// usageError converts an error of the command-line library into a BadArgument error that shows the usage.
func usageError(c *cobra.Command, err error) error {
	return codes.Newf(codes.BadArgument, "%v; usage: %s (see --help)", err, c.UseLine())
}

// reportUsageErrors makes the command and its subcommands return a BadArgument error for wrong arguments, unknown commands and
// missing flags. By default the library returns uncoded errors, and prints help for an unknown command below the first level.
func reportUsageErrors(c *cobra.Command) {
	args := c.Args
	switch {
	case c.Name() == "help":
		args = func(c *cobra.Command, args []string) error { return checkHelpTopic(c.Root(), args) }
	case c.HasSubCommands():
		args = cobra.NoArgs // An argument of a command group is an unknown command.
		c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	}
	c.Args = func(c *cobra.Command, list []string) error {
		if args != nil {
			if err := args(c, list); err != nil {
				return usageError(c, err)
			}
		}
		if err := c.ValidateRequiredFlags(); err != nil {
			return usageError(c, err)
		}
		return nil
	}
	for _, sub := range c.Commands() {
		reportUsageErrors(sub)
	}
}

// checkHelpTopic returns an error unless the arguments of the help command name a command.
func checkHelpTopic(root *cobra.Command, args []string) error {
	_, rest, err := root.Find(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unknown command %q", rest[0])
	}
	return err
}
