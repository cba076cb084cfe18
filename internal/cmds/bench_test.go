package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fireflycleat/fireflycleat/internal/daemon"
	"github.com/fireflycleat/fireflycleat/internal/telem"
	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// BenchmarkCaller compares a short streamed call through a daemon with the same call sent directly to the engine. ns/op is the
// time per call under concurrent load, and mean-us the mean time of a call without concurrent calls.
func BenchmarkCaller(b *testing.B) {
	p, err := newDevPlatform(time.Microsecond)
	qt.Assert(b, err, qt.IsNil)
	defer p.close()
	s, err := devDaemonSettings(p)
	qt.Assert(b, err, qt.IsNil)
	d, err := daemon.New(s, telem.NewLogs(io.Discard, "dev"))
	qt.Assert(b, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	qt.Assert(b, publishDevConfig(ctx, io.Discard, s), qt.IsNil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	call := func(address string) error {
		body := `{"model":"dial-train-07","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"x"}]}`
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+os.Getenv(apiKeyEnv))
		resp, err := client.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		if err == nil && !strings.Contains(string(text), "[DONE]") {
			return fmt.Errorf("%s: %s", resp.Status, text)
		}
		return err
	}
	qt.Assert(b, call(s.Listen.Traffic.String()), qt.IsNil)
	var status wire.Status
	o := &operatorClient{address: s.Listen.Operator.String()}
	qt.Assert(b, o.call(ctx, http.MethodGet, "/v1/status", nil, &status), qt.IsNil)
	engineAddress := ""
	for _, c := range status.Cells {
		for _, r := range c.Replicas {
			engineAddress = p.engineAddresses[r.Upstream]
		}
	}
	qt.Assert(b, engineAddress, qt.Not(qt.Equals), "")
	for _, x := range []struct{ name, address string }{{"direct", engineAddress}, {"daemon", s.Listen.Traffic.String()}} {
		b.Run(x.name, func(b *testing.B) {
			var failed atomic.Int64
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if call(x.address) != nil {
						failed.Add(1)
					}
				}
			})
			b.ReportMetric(float64(failed.Load()), "failed")
		})
		b.Run(x.name+"-alone", func(b *testing.B) {
			start := time.Now()
			for b.Loop() {
				qt.Assert(b, call(x.address), qt.IsNil)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds())/float64(b.N), "mean-us")
		})
	}
	cancel()
	<-stopped
}
