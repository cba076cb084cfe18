package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	openai "github.com/sashabaranov/go-openai"
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/daemon"
	"github.com/fireflycleat/fireflycleat/internal/setup"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	devKey       = "dev-key"
	devReadyWait = 15 * time.Second
	devSettings  = `
[host]
name = "dev"
dataCentre = "galle"
[listen]
traffic = "%s"
peers = "%s"
operator = "%s"
[platform]
log = "%s"
hostList = "%s"
[caller]
addressLifetime = "500ms"
`
)

func newDev() *cobra.Command {
	var question string
	c := &cobra.Command{
		Use:   "dev",
		Short: "Runs a daemon and stand-ins of the platform in one process",
		Long: "Runs a daemon and stand-ins of the platform in one process on loopback, with the sizes of the Wijesinghe deployment: " +
			"20 engines, 3 booking services, 100 models and 120 adapters. With --ask it asks a model, streams the answer and stops.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer cancel()
			return runDev(ctx, c.OutOrStdout(), question)
		},
	}
	c.Flags().StringVar(&question, "ask", "", "ask this and stop")
	return c
}

func runDev(ctx context.Context, w io.Writer, question string) error {
	p, err := newDevPlatform(devTokenTime)
	if err != nil {
		return err
	}
	defer p.close()
	s, err := devDaemonSettings(p)
	if err != nil {
		return err
	}
	logs := telem.NewLogs(os.Stderr, s.Host.Name)
	_ = logs.SetLevel("warn") // a known level
	d, err := daemon.New(s, logs)
	if err != nil {
		return listenError(s, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	if err := devPublish(ctx, w, s); err != nil {
		return err
	}
	if question == "" {
		devUsage(w, s)
		return <-stopped
	}
	fmt.Fprintf(w, "asking dial-train-07, which is not loaded yet: %s\n", question)
	err = ask(ctx, w, s.Listen.Traffic.String(), openai.ChatCompletionRequest{
		Model: "dial-train-07", Stream: true, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: question}},
	})
	cancel()
	if e := <-stopped; err == nil {
		err = e
	}
	return err
}

// devDaemonSettings takes free ports; another process could take them meanwhile, and the daemon then says so.
func devDaemonSettings(p *devPlatform) (setup.Settings, error) {
	var free [3]string
	for i := range free {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return setup.Settings{}, codes.New(codes.Internal, err.Error())
		}
		free[i] = l.Addr().String()
		defer func() { _ = l.Close() }()
	}
	text := fmt.Sprintf(devSettings, free[0], free[1], free[2], p.log, p.list)
	s, faults := setup.Parse("dev", []byte(text))
	return s, setup.AsError(faults)
}

// devPublish publishes the configuration and waits until the daemon serves it.
func devPublish(ctx context.Context, w io.Writer, s setup.Settings) error {
	o := &operator{address: s.Listen.Operator.String()}
	var status wire.Status
	for deadline := time.Now().Add(devReadyWait); !status.Ready || len(status.Cells) < len(devCentres); time.Sleep(stopPollInterval) {
		if time.Now().After(deadline) {
			return codes.New(codes.NotReady, "daemon is not ready: "+status.Reason)
		}
		_ = o.call(ctx, http.MethodGet, "/v1/status", nil, &status) // the loop asks again
	}
	var done wire.Change
	for _, t := range devTemplates() {
		if err := o.call(ctx, http.MethodPut, "/v1/templates/"+t.Name, wire.TemplateChange{Template: t}, &done); err != nil {
			return err
		}
	}
	digest := sha256.Sum256([]byte(devKey))
	team := spec.Team{
		Name: "bench-fitters", KeyDigests: []string{hex.EncodeToString(digest[:])}, Models: []string{"*"}, Adapters: []string{"*"},
		Services: []string{"*"}, Urgency: spec.Normal, DeadlineMillis: 20000,
	}
	if err := o.call(ctx, http.MethodPut, "/v1/teams/"+team.Name, wire.TeamChange{Team: team}, &done); err != nil {
		return err
	}
	fmt.Fprintf(w, "published %d templates and 1 team, in force at offset %d\n", len(devTemplates()), done.Offset)
	return os.Setenv(keyVariable, devKey)
}

func devUsage(w io.Writer, s setup.Settings) {
	fmt.Fprintf(w, `callers:   %s
operators: %s
try:
  %s=%s fireflycleat ask --host %s dial-train-07 "the clock stopped"
  fireflycleat status --operator %s
  curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' -d '{}' http://%s/v1/services/booking/visits
`, s.Listen.Traffic, s.Listen.Operator, keyVariable, devKey, s.Listen.Traffic, s.Listen.Operator, devKey, s.Listen.Traffic)
}
