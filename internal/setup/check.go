package setup

import (
	"fmt"
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

const (
	minTokenLength = 16
	minMemory      = 64 * mib
	maxMemory      = 1024 * gib
)

type checker struct {
	problems []Problem
}

// check returns the problems that the decoder does not detect. The caller fills in file and line.
func (s Settings) check() []Problem {
	var c checker
	c.name("host.name", s.Host.Name)
	c.name("host.dataCentre", s.Host.DataCentre)
	c.name("platform.logStream", s.Platform.LogStream)
	c.address("listen.traffic", s.Listen.Traffic, true)
	c.address("listen.peers", s.Listen.Peers, true)
	c.address("listen.operator", s.Listen.Operator, true)
	c.address("advertise.peers", s.Advertise.Peers, false)
	c.address("platform.log", s.Platform.Log, true)
	c.address("platform.hostList", s.Platform.HostList, true)
	c.address("telemetry.otlpEndpoint", s.Telemetry.OTLPEndpoint, false)
	for _, a := range s.Platform.Seeds {
		c.address("platform.seeds", a, true)
	}
	c.duration("platform.statusInterval", s.Platform.StatusInterval, 10*time.Millisecond, 10*time.Second)
	c.duration("platform.snapshotInterval", s.Platform.SnapshotInterval, time.Second, 24*time.Hour)
	c.duration("limits.headerTimeout", s.Limits.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.duration("limits.bodyTimeout", s.Limits.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("caller.addressLifetime", s.Caller.AddressLifetime, 100*time.Millisecond, time.Hour)
	c.duration("caller.keyLifetime", s.Caller.KeyLifetime, time.Minute, 7*24*time.Hour)
	c.size("limits.requestBytes", s.Limits.RequestBytes, kib, 64*mib)
	if s.Limits.Memory.text != "" {
		c.size("limits.memory", s.Limits.Memory, max(minMemory, memoryFactor*s.Limits.RequestBytes.value), maxMemory)
	}
	c.size("limits.replyBytes", s.Limits.ReplyBytes, kib, 768*kib)
	c.inRange("limits.inFlight", float64(s.Limits.InFlight), 1, 1e6)
	c.inRange("store.loadsPerSecond", s.Store.LoadsPerSecond, 0.01, 1e6)
	c.inRange("store.slots", float64(s.Store.Slots), 1, 1e5)
	c.inRange("store.adaptersInFlight", float64(s.Store.AdaptersInFlight), 1, 1e6)
	c.operatorToken(s)
	c.logLevel(s.Telemetry.LogLevel)
	return c.problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{key: key, detail: fmt.Sprintf(format, args...)})
}

func (c *checker) name(key, value string) {
	switch {
	case value == "":
		c.add(key, "is missing")
	case !spec.ValidName(value):
		c.add(key, "must be a name of lower-case letters, digits, dots, hyphens and underscores")
	}
}

func (c *checker) address(key string, a Address, required bool) {
	switch {
	case !a.IsSet() && required:
		c.add(key, "is missing")
	case a.problem != "":
		c.add(key, "%s", a.problem)
	case a.IsSet() && a.value.Addr().IsUnspecified():
		c.add(key, "must be an address that others can connect to, not %s", a.value.Addr())
	}
}

func (c *checker) duration(key string, d Duration, low, high time.Duration) {
	switch {
	case d.problem != "":
		c.add(key, "%s", d.problem)
	case d.value < low || d.value > high:
		c.add(key, "must be between %s and %s", low, high)
	}
}

func (c *checker) size(key string, s Size, low, high int64) {
	switch {
	case s.problem != "":
		c.add(key, "%s", s.problem)
	case s.value < low || s.value > high:
		c.add(key, "must be between %d and %d bytes", low, high)
	}
}

func (c *checker) inRange(key string, value, low, high float64) {
	if value < low || value > high {
		c.add(key, "must be between %g and %g", low, high)
	}
}

// operatorToken requires a token if the operators' API can be reached from other machines.
func (c *checker) operatorToken(s Settings) {
	switch {
	case s.Operator.Token == "" && s.Listen.Operator.problem == "" && !s.Listen.Operator.Loopback():
		c.add("operator.token", "is required unless listen.operator is a loopback address")
	case s.Operator.Token != "" && len(s.Operator.Token) < minTokenLength:
		c.add("operator.token", "must have at least %d characters", minTokenLength)
	}
}

func (c *checker) logLevel(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.add("telemetry.logLevel", "must be debug, info, warn or error")
	}
}
