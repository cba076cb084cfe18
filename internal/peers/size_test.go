package peers

import (
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/cell"
	"github.com/fireflycleat/fireflycleat/pkg/member"
	"github.com/fireflycleat/fireflycleat/pkg/route"
	"github.com/fireflycleat/fireflycleat/pkg/stale"
)

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

// Write counts p and discards it.
func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// BenchmarkMessage measures the size and encoding time of messages on a connection that has already sent their types.
// docs/CAPACITY.md is derived from its results.
func BenchmarkMessage(b *testing.B) {
	header := Header{From: "host-0001.1a2b3c4d", Trace: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
	identity := member.Identity{
		Incarnation: header.From, Host: "host-0001", Address: "192.0.2.1:7002", CallerURL: "192.0.2.1:7001", DataCentre: "colombo",
	}
	directory := func(replicas int) Directory {
		d := Directory{Header: header, Cell: "colombo-1", Fence: 1 << 20, Seq: 1 << 20}
		for i := range replicas {
			name := fmt.Sprintf("engine-%04d", i)
			d.Replicas = append(d.Replicas, cell.Replica{Upstream: name, Model: "dial-train-001", Version: "v1", Slots: 8, Ready: true})
			d.Loads = append(d.Loads, Load{Upstream: name, Model: "dial-train-001", Running: 3, Waiting: 1, Slots: 8, At: time.Now()})
		}
		return d
	}
	for name, m := range map[string]any{
		"heartbeat": Heartbeat{
			Header: header, Beat: member.Heartbeat{Identity: identity, Offset: 1 << 20, LogContactAge: time.Second, Current: true},
			Fresh: stale.Heartbeat{Incarnation: header.From, Offset: 1 << 20, Known: 1 << 20, HasRead: true, LogAge: time.Second},
		},
		"heartbeat4slow": Heartbeat{
			Header: header, Beat: member.Heartbeat{Identity: identity, Offset: 1 << 20, LogContactAge: time.Second, Current: true},
			Fresh: stale.Heartbeat{Incarnation: header.From, Offset: 1 << 20, Known: 1 << 20, HasRead: true, LogAge: time.Second},
			Speeds: slices.Repeat([]route.Notice{{
				Upstream: "engine-0001", Slow: true, Age: 1234567890, Left: 9876543210, Strikes: 3, Token: 5.123456, First: 3.654321,
			}}, 4),
		},
		"demand": CellEvent{Header: header, Cell: "colombo-1", Event: cell.Demand{
			Host: "host-0001", Model: "dial-train-001", Urgent: 3, EarliestDeadline: time.Now(),
		}},
		"use":         CellEvent{Header: header, Cell: "colombo-1", Event: cell.Use{Host: "host-0001", Model: "dial-train-001", InFlight: 3}},
		"forecast":    ForecastArgs{Header: header, Forecast: cell.Forecast{Host: "host-0001", Model: "dial-train-001", ReadyAt: time.Now()}},
		"directory0":  directory(0),
		"directory64": directory(64),
	} {
		b.Run(name, func(b *testing.B) {
			var c byteCounter
			e := gob.NewEncoder(&c)
			if err := e.Encode(m); err != nil {
				b.Fatal(err)
			}
			c.bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				if err := e.Encode(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.bytes)/float64(b.N), "wire-B/op")
		})
	}
}
