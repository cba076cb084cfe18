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
	devKey              = "dev-key"
	devReadyTimeout     = 15 * time.Second
	devSettingsTemplate = `
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
	var prompt string
	c := &cobra.Command{
		Use:   "dev",
		Short: "Runs a daemon and stand-ins of the platform in one process",
		Long: "Runs a daemon and stand-ins of the platform in one process on loopback, with the sizes of the Wijesinghe deployment: " +
			"20 engines, 3 booking services, 100 models and 120 adapters. With --ask it sends one prompt to a model, streams the answer and stops.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer cancel()
			return runDev(ctx, c.OutOrStdout(), prompt)
		},
	}
	c.Flags().StringVar(&prompt, "ask", "", "prompt to send before stopping")
	return c
}

func runDev(ctx context.Context, w io.Writer, prompt string) error {
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
	_ = logs.SetLevel("warn") // fails only for an unknown level
	d, err := daemon.New(s, logs)
	if err != nil {
		return listenError(s, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	if err := publishDevConfig(ctx, w, s); err != nil {
		return err
	}
	if prompt == "" {
		printDevUsage(w, s)
		return <-stopped
	}
	fmt.Fprintf(w, "asking dial-train-07, which is not loaded yet: %s\n", prompt)
	err = ask(ctx, w, s.Listen.Traffic.String(), openai.ChatCompletionRequest{
		Model: "dial-train-07", Stream: true, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: prompt}},
	})
	cancel()
	if e := <-stopped; err == nil {
		err = e
	}
	return err
}

// devDaemonSettings returns settings with free ports. If another process binds one before the daemon does, the daemon reports it.
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
	text := fmt.Sprintf(devSettingsTemplate, free[0], free[1], free[2], p.logAddress, p.hostListAddress)
	s, problems := setup.Parse("dev", []byte(text))
	return s, setup.AsError(problems)
}

// publishDevConfig waits until the daemon is ready, publishes the templates and one team, and puts the team's API key into the
// environment.
func publishDevConfig(ctx context.Context, w io.Writer, s setup.Settings) error {
	o := &operatorClient{address: s.Listen.Operator.String()}
	var status wire.Status
	for deadline := time.Now().Add(devReadyTimeout); !status.Ready || len(status.Cells) < len(devDataCentres); time.Sleep(statusPollInterval) {
		if time.Now().After(deadline) {
			return codes.New(codes.NotReady, "daemon is not ready: "+status.Reason)
		}
		_ = o.call(ctx, http.MethodGet, "/v1/status", nil, &status) // retried until the deadline
	}
	var accepted wire.Change
	for _, t := range devTemplates() {
		if err := o.call(ctx, http.MethodPut, "/v1/templates/"+t.Name, wire.TemplateChange{Template: t}, &accepted); err != nil {
			return err
		}
	}
	digest := sha256.Sum256([]byte(devKey))
	team := spec.Team{
		Name: "bench-fitters", KeyDigests: []string{hex.EncodeToString(digest[:])}, Models: []string{"*"}, Adapters: []string{"*"},
		Services: []string{"*"}, Urgency: spec.Normal, DeadlineMillis: 20000,
	}
	if err := o.call(ctx, http.MethodPut, "/v1/teams/"+team.Name, wire.TeamChange{Team: team}, &accepted); err != nil {
		return err
	}
	fmt.Fprintf(w, "published %d templates and 1 team, in force at offset %d\n", len(devTemplates()), accepted.Offset)
	return os.Setenv(apiKeyEnv, devKey)
}

func printDevUsage(w io.Writer, s setup.Settings) {
	fmt.Fprintf(w, `callers:   %s
operators: %s
try:
  %s=%s fireflycleat ask --host %s dial-train-07 "the clock stopped"
  fireflycleat status --operator %s
  curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' -d '{}' http://%s/v1/services/booking/visits
`, s.Listen.Traffic, s.Listen.Operator, apiKeyEnv, devKey, s.Listen.Traffic, s.Listen.Operator, devKey, s.Listen.Traffic)
}
