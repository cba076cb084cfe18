package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// standinServer serves a stand-in as set by the flags that all stand-ins share.
type standinServer struct {
	listen string
	oneWay time.Duration
}

func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use:   "standin",
		Short: "Runs a stand-in of a platform service for tests and trials",
		Long: "Runs a stand-in of a platform service for tests and trials. POST /faults with a JSON document replaces the faults " +
			"that it simulates; {} clears them.",
	}
	c.AddCommand(newStandinLog(), newStandinStore(), newStandinHosts(), newStandinEngine(), newStandinService())
	return c
}

func (s *standinServer) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&s.listen, "listen", "127.0.0.1:0", "`IP:port` to listen on; port 0 selects a free one")
	c.Flags().DurationVar(&s.oneWay, "one-way", 0, "network latency to inject in each direction")
}

// run serves the handler until SIGTERM or SIGINT, and then closes the stand-in.
func (s *standinServer) run(c *cobra.Command, h http.Handler, closeStandin func()) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", s.listen)
	if err != nil {
		return codes.New(codes.BadArgument, err.Error()).WithField("--listen")
	}
	srv := &http.Server{Handler: stand.Latency(s.oneWay, h), ReadHeaderTimeout: time.Minute}
	defer context.AfterFunc(ctx, func() {
		closeStandin()
		_ = srv.Close() // Serve returns even if closing fails.
	})()
	fmt.Fprintf(c.OutOrStdout(), "listening on %s\n", l.Addr())
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return codes.New(codes.Internal, err.Error())
	}
	return nil
}
