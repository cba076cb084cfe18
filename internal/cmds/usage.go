package cmds

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// describe returns the line that reports the error of a command.
func describe(e *codes.Error) string {
	text := fmt.Sprintf("fireflycleat: error %d: %v", e.Code(), e)
	if wait := e.RetryAfter(); wait > 0 {
		text += fmt.Sprintf("; retry after %s", max(wait.Round(100*time.Millisecond), 100*time.Millisecond))
	}
	return text
}

// badUsage turns an error of the command-line library into an invalid argument.
func badUsage(c *cobra.Command, err error) error {
	return codes.Newf(codes.BadArgument, "%v; usage: %s (see --help)", err, c.UseLine())
}

// checkUsage makes wrong arguments, unknown commands and missing flags of the command and all below it invalid arguments.
// The library would report them as errors of unknown kind, and answer an unknown command below the first level with help.
func checkUsage(c *cobra.Command) {
	args := c.Args
	switch {
	case c.Name() == "help":
		args = func(c *cobra.Command, args []string) error { return checkTopic(c.Root(), args) }
	case c.HasSubCommands():
		args = cobra.NoArgs // What follows the name of a group is taken for an unknown command.
		c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	}
	c.Args = func(c *cobra.Command, list []string) error {
		if args != nil {
			if err := args(c, list); err != nil {
				return badUsage(c, err)
			}
		}
		if err := c.ValidateRequiredFlags(); err != nil {
			return badUsage(c, err)
		}
		return nil
	}
	for _, sub := range c.Commands() {
		checkUsage(sub)
	}
}

func checkTopic(root *cobra.Command, args []string) error {
	_, rest, err := root.Find(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unknown command %q", rest[0])
	}
	return err
}
